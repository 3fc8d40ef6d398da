Feature: Instances converge on equal membership views and upstream owners

  Scenario: Membership views converge after message loss, partitions, pauses and restarts
    Then fleets with random faults agree on the owners within 10 s of the last fault

  Scenario: Message loss does not get a running instance declared dead
    Then fleets that lose 10% of all messages declare no running instance dead
    And a membership that needs only one failed probe declares running instances dead

  Scenario: Joins, restarts and published changes get no running instance declared dead
    Then fleets with random joins, restarts and published changes declare no running instance dead

  Scenario: All other instances detect a dead instance within 3 s
    Then the death of one of 9 instances is detected by all others within 3000 ms
    And the death of one of 74 instances is detected by all others within 3000 ms
    And a membership that treats every suspicion as a rumour detects it later

  Scenario: A paused instance does not act on its ownership until an exchange succeeds
    Given a converged fleet of 9 instances
    When one instance is paused for 20 s and another is killed meanwhile
    Then the paused instance is late when it resumes, until an exchange succeeds
    And its view then shows the killed instance as dead
    And a membership that ignores gaps between calls is not late when it resumes

  Scenario: An isolated instance serves alone after the isolation timeout
    Given a converged fleet of 9 instances
    When one instance is isolated and paused for 5 s
    Then it is late for the isolation timeout and then serves alone

  Scenario: A process whose clock was set back raises its incarnation before it serves
    Given a converged fleet of 9 instances
    When one process is restarted with its clock a day behind
    Then its incarnation exceeds the previous one before it stops being late
    And no view shows the home in cookies of the previous process as alive
    And a membership that keeps its lower incarnation is not shown as alive by its peers

  Scenario: A leaving instance owns no upstream and is not declared dead
    Given a converged fleet of 9 instances
    When one instance announces itself as LEAVING
    Then no view shows it as serving after 3000 ms and all show it as leaving

  Scenario: Only published instances that announced themselves own upstreams
    Given a converged fleet of 9 instances
    When one instance is published as leaving and an instance that does not run is added
    Then no view shows either of them as serving
    And an unpublished instance is serving in no other view although it sends exchanges

  Scenario: Both sides of a network partition serve, and their views converge after it
    Given a converged fleet of 9 instances
    When one failure domain is partitioned off for 8 s
    Then the views on each side show exactly the instances of that side as serving
    And all views converge within 5000 ms after the partition

  Scenario: Equal changes of two records do not cancel out in the table checksum
    Then tables with different pairs of dead instances have different checksums

  Scenario: Arbitrary rumours raise no exception and add no unpublished instance
    Then 300 arbitrary deltas are merged or ignored

  Scenario: No instance owns too many upstreams and a change moves few
    Then random fleets keep the load bound and move at most twice the minimum plus 2
    And a round-robin assignment moves more upstreams than that

  Scenario: Upstreams of a failure domain without instances get owners in their region
    Then owners are in the failure domain, else in the region, else anywhere

  Scenario: The embedding example in the documentation prints the documented output
    Then the example in docs/membership.md prints the output that the page shows
