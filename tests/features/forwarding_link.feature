Feature: Bulk transfers and short requests share a slow link

  Scenario: Windows of transfers overflow the send buffer of the link
    Then a model link loses most of what is sent at once
    And at the stated rate hardly any packet is repeated, also when timers fire late
    And more than a few packets are never sent at once

  Scenario: A transfer keeps short packets and other flows from the link
    Then openings, acknowledgements and resets are sent before waiting payload
    And flows take turns, urgent ones with more packets in each turn
    And short packets that fill the link do not stop a transfer

  Scenario: Packets of a flow leave in another order than its sequence numbers
    Then waiting payload leaves in order, also where the numbers wrap around
    And a closing packet leaves after the payload before it
    And a reset of the client discards what waits

  Scenario: Copies fill the link, or a lost packet is never repeated
    Then a copy is dropped while its original waits or was just sent
    And a copy of a packet that was sent earlier is sent

  Scenario: The queue grows without bound, or loses what it holds
    Then the packets that wait are bounded, and the longest flow loses its last one
    And a process that stops sends what waits

  Scenario: The stated rate of the link is wrong
    Then a link slower than stated carries transfers sooner than without a queue
    And a faster link, and one that loses packets, carries them in time
    And the rate stays within its bounds, and a silent upstream does not change it
    And a link that grows beyond the rate without pacing is paced and lowered again

  Scenario: Pacing costs time where the link is wide
    Then a wide link lets all packets pass without a wake-up

  Scenario: A busy link makes upstreams suspected that are alive
    Then silence while the queue of the link is long is no evidence, nor reported
    And a probe that times out meanwhile is inconclusive
    And silence on a link that loses packets is no evidence

  Scenario: An upstream that fails during a burst is not found
    Then silence is evidence on an idle link, and after half a second on a busy one
    And a probe of an upstream that is suspected for longer counts

  Scenario: The reports of one instance that is cut off make the others suspect upstreams
    Then one instance alone makes no other one suspect an upstream, two do
    And the rule holds across failure domains, and for reports without a bound

  Scenario: Ten transfers begin on one slow link while its neighbours are idle
    Then few transfers share the link, others wait, and those that would be late are reset
    And a waiting transfer begins when another one ends, or its client stops
    And what the link cannot carry before the timeout of its route is reset at once

  Scenario: The limit of transfers keeps out what the link could carry
    Then short routes, an idle link and a wide one take every opening
    And a copy of an opening that waits is not reset, and a process that stops sends it
    And the size of a route follows its requests, not those that moved or were aborted

  Scenario: Control messages and transfers displace each other, or nobody sees it
    Then control messages beyond their share delay transfers, those within it do not
    And the metrics page shows the bytes of control messages

  Scenario: The cause of a late transfer cannot be found
    Then the log tells how long a transfer waited, what the link had queued, and its end
