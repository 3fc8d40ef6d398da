Feature: A pool with too little room serves what it can, the urgent requests first

  Scenario: Answers of full upstreams look like fast upstreams and attract more requests
    Then a quick short answer of a busy upstream lowers its limit, which recovers
    And it changes neither the latency nor the share of short answers of the upstream
    But a short answer of an idle upstream, or a slow one, lowers no limit

  Scenario: A flow is placed on an upstream that cannot take it
    Then an upstream at its observed limit or its connection limit gets no flow
    And an overdue packet is forwarded although all upstreams are at their limit

  Scenario: An upstream that has become slow gets as many requests as before
    Then the limit of a busy upstream falls to what it completes within the objective
    But few observations, or more answers than a report contains, lower no limit

  Scenario: Less urgent requests take the room of urgent ones
    Then a less urgent flow waits while an urgent one is forwarded from the reserve
    And an urgent flow is not held back by less urgent ones that wait
    And an urgent flow is not refused because too many less urgent ones wait
    And urgent requests are in time at least as often in each second of a burst

  Scenario: A surge from one failure domain makes the clients of all others late
    Then clients of other domains are in time as often as the aim asks, despite the surge
    And of two clients the one with fewer recent releases goes first

  Scenario: Requests meet full upstreams after a part of the pool is lost in a burst
    Then at most 2% of the arrivals meet a full upstream
    And urgent requests are in time as often as the aim asks
    And fewer requests are lost than before
    And the load of the busiest upstream is at most 1.4 times the mean
    And more requests are in time than with earlier or simpler policies

  Scenario: Calm load is held back by limits that are rough estimates
    Then two classes are served as before under steady load
    And two classes are served as before with 90 instances

  Scenario: A deployment that states no classes and no connection limits is served differently
    Then a burst of a single class is served as before
