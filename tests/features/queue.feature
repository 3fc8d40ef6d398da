Feature: Scheduling of work, selection of upstreams and the retry budget

  Scenario: A customer with many requests takes slot time from other customers
    Then backlogged customers get slot time in proportion to their weights
    And the fairness check fails on a first-in-first-out queue

  Scenario: An urgent label gives a customer more than its fair share
    Then a customer that labels all requests urgent gets only its share of the slots

  Scenario: Normal work delays urgent work, or urgent work starves normal work
    Then urgent work within the slots meets its deadlines beside saturating normal work
    And normal work gets its guaranteed share beside urgent work beyond the slots

  Scenario: Bulk work starves behind urgent and normal work
    Then bulk work gets its guaranteed share beside saturating urgent work

  Scenario: Long work occupies the last slot
    Then random work never runs long work in the last free slot
    And the last slot check fails without the reserved slot

  Scenario: Long work without the bulk label occupies the last slot
    Then work of a customer with long measured running times leaves a slot free

  Scenario: Work is started after its deadline, lost or started twice
    Then random work is started once before its deadline or reported once as not run
    And the deadline check fails on a first-in-first-out queue

  Scenario: Work with the earliest deadline of a customer waits behind its later work
    Then the queue starts the work of one customer in order of the deadlines

  Scenario: A queue accepts work that it cannot start in time
    Then accepted work starts within the longest wait and the rest is refused at once

  Scenario: Cancelled work keeps its place in the queue or its slot
    Then cancelled queued work never runs and cancelled running work is returned

  Scenario: An upstream that sheds work is sent as much work as before
    Then the queue uses fewer slots after a shed and all slots later

  Scenario: Sheds, cancellations and changed slots lose work or leave wrong counts
    Then after random operations every request has ended once and the queue is empty

  Scenario: Running times that are estimated too high refuse a customer permanently
    Then a customer whose slow work has become fast is served again

  Scenario: Retries multiply the load of a failing upstream
    Then retries of 10000 failing requests stay within the budget
    And backoff delays of equal attempts differ and stay within their bounds

  Scenario: Errors eject so many upstreams that the remaining ones are overloaded
    Then random errors never eject more than the largest allowed share of the pool

  Scenario: The reported health of an upstream hides its actual state
    Then a failing upstream that reports itself healthy is ejected and returns slowly
    And a working upstream that reports itself unhealthy keeps its flows

  Scenario: An upstream that failed in a pool too small for ejection never gets flows again
    Then in a pool of three a failing upstream loses its flows for some seconds

  Scenario: A new upstream gets its full share at once
    Then a new upstream gets only a small part of the flows at first

  Scenario: A leaving or excluded upstream gets a flow
    Then leaving and excluded upstreams are not chosen

  Scenario: Nine instances with old reports choose the same idle upstream
    Then nine choosers with old reports distribute the flows evenly over the pool
    And the check of the distribution fails if each choice compares all upstreams
