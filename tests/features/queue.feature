Feature: The queue, the choice of upstreams and the retry budget keep their promises

  Scenario: A customer with many requests takes slot time from another one
    Then backlogged customers get slot time by weight from the queue
    And the fairness check fails on a first-in-first-out queue

  Scenario: An urgent label buys more than the fair share
    Then a customer that labels everything urgent gets its share of the slots

  Scenario: Normal work makes urgent work late, or urgent work starves normal work
    Then urgent work that fits the slots is in time beside saturating normal work
    And normal work gets its guaranteed share beside urgent work above the slots

  Scenario: Bulk work starves behind urgent and normal work
    Then bulk work gets its guaranteed share beside saturating urgent work

  Scenario: Long work occupies the last slot
    Then random work never puts long work on the last slot
    And the last slot check fails without the reserve

  Scenario: Unlabelled long work is learned and kept off the last slot
    Then work of a customer with long running times leaves a slot free

  Scenario: Work is run after its deadline, lost or run twice
    Then random work is started in time and once, or reported once as not run
    And the deadline check fails on a first-in-first-out queue

  Scenario: The earliest deadline of a customer waits behind a later one
    Then the queue starts the work of one customer by deadline

  Scenario: A queue accepts work that it cannot start in time
    Then accepted work waits within the bound and the rest is refused at once

  Scenario: Cancelled work keeps its place or its slot
    Then cancelled queued work never runs and cancelled running work is returned

  Scenario: An upstream that sheds is sent as much as before
    Then the queue uses fewer slots after a shed and all slots later

  Scenario: Sheds, cancellations and changed slots lose work or leave counts behind
    Then after random operations every request has ended once and nothing is left

  Scenario: Wrong estimates refuse a customer for good
    Then a customer whose work was slow once is served again when it is fast

  Scenario: Retries multiply the load of a failing upstream
    Then retries of 10000 failing requests stay within the budget
    And backoff delays of equal attempts differ and stay within their bounds

  Scenario: Errors eject so many upstreams that the rest is overloaded
    Then random errors never eject more than the largest share of the pool

  Scenario: Published health hides an upstream that fails
    Then a failing upstream that reports health is ejected and returns slowly
    And a serving upstream that reports bad health keeps its flows

  Scenario: An upstream that failed in a pool too small for ejection gets no flow again
    Then in a pool of three a failing upstream loses its flows for some seconds

  Scenario: A new upstream gets its full share at once
    Then a new upstream gets a small part of the flows at first

  Scenario: A leaving or excluded upstream gets a flow
    Then leaving and excluded upstreams are not chosen

  Scenario: Nine instances with old reports choose the same idle upstream
    Then nine choosers with old reports keep the pool even
    And the herd check fails when all upstreams are compared
