@live
Feature: A change is in force in time whatever the other instances and the source do

  Scenario: A change is late because an instance asks several failed sources in turn
    Then a replica is never older than a change may take while its peers change their behaviour
    And the bound holds for each number of peers that are stale, silent or refuse the call
    And a change reaches an instance in touch in time while its readers are turned away
    And a draining upstream gets no new flows in time while its readers get no answer

  Scenario: A peer delays a change because its reply trickles in
    Then a response that arrives byte by byte ends with the time limit of the call

  Scenario: A delayed reply counts as a confirmation of the present state
    Then the replica is as old as the latest moment at which the peer may have replied

  Scenario: A reader keeps its peers waiting although its replica is too old for them
    Then a peer gets an answer when the replica is confirmed, too old or the wait is over
    And a request of a peer without finite numbers is refused

  Scenario: A question to peers after a restore delays a change
    Then silent peers are only asked while the replica is new

  Scenario: An instance reads from peers for seconds because one watch was cut
    Then a lost connection to the source is tried again at once, but only once
    And a source that fails is called again after growing pauses
    And a source that has lost its history again and again is not called without a pause

  Scenario: An evacuation is late because only other changes have a bound
    Then the shortest of all bounds on changes limits the age of the replica

  Scenario: Instances that restart while the store is away never serve
    Then an instance without records uses a stale replica, and an older one changes nothing
    And an instance without records and without peers asks other failure domains
    And instances that restart in turn while the store is away serve again
