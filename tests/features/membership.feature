Feature: Instances agree on who is alive and who owns which upstream

  Scenario: Views that differ after loss, partitions, pauses and restarts agree again
    Then fleets with random faults agree on the owners within 10 s of the last fault

  Scenario: An instance that answers is not declared dead when messages are lost
    Then fleets that lose 10% of all messages declare no running instance dead
    And a membership that needs one failed probe declares running instances dead

  Scenario: Planned changes without faults never look like a death
    Then fleets with random joins, restarts and published changes declare no running instance dead

  Scenario: A dead instance keeps its upstreams for 3 s at most
    Then the death of one of 9 instances is seen by all others within 3000 ms
    And the death of one of 74 instances is seen by all others within 3000 ms
    And a membership that waits for hearsay alone sees it later

  Scenario: An instance that resumes late does not use its authority
    Given a converged fleet of 9 instances
    When one instance is paused for 20 s and another dies meanwhile
    Then it is late when it resumes, until one exchange has succeeded
    And it then knows of the death
    And a membership that ignores gaps is not late when it resumes

  Scenario: An instance without any reachable peer serves its own failure domain
    Given a converged fleet of 9 instances
    When one instance is cut off and paused for 5 s
    Then it is late for the stated time and then serves alone

  Scenario: A process whose clock stepped back takes a higher incarnation before it serves
    Given a converged fleet of 9 instances
    When one process is replaced while its clock is a day behind
    Then its incarnation is above the old one before it stops being late
    And cookies of the old process are not alive on any instance
    And a membership that keeps its lower incarnation stays unseen

  Scenario: An instance that leaves gets no ownership and is not taken for dead
    Given a converged fleet of 9 instances
    When one instance announces that it leaves
    Then no instance counts it as serving after 3000 ms and all show it as leaving

  Scenario: Only published instances that were heard of own upstreams
    Given a converged fleet of 9 instances
    When the operators publish one instance as leaving and an instance that is absent
    Then neither owns an upstream on any instance
    And an instance that is not published owns none although it sends exchanges

  Scenario: Both sides of a partition serve, and agree after it
    Given a converged fleet of 9 instances
    When one failure domain is cut off for 8 s
    Then each side counts exactly its own instances as serving
    And after the partition all agree within 5000 ms

  Scenario: The same change in two rows of a table shows in its checksum
    Then tables in which any two instances died have different checksums

  Scenario: Arbitrary rumours raise no error and name no unknown instance
    Then 300 arbitrary deltas are merged or ignored

  Scenario: No instance owns too many upstreams and a change moves few
    Then random fleets keep the load bound and move at most twice the minimum and 2 more
    And owners that are counted off in order move more than that

  Scenario: Upstreams of a failure domain without instances are owned by their region
    Then owners come from the failure domain, else the region, else any

  Scenario: The embedding example of the documentation runs
    Then the example in docs/membership.md prints the owners it states
