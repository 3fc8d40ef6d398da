Feature: Instances share the reading of records and their load figures

  Scenario: Every instance of a large fleet reads the published source
    Then one member of a failure domain reads the source and the others read from it
    And members discover their failure domain through one seed

  Scenario: Members of a large failure domain lose track of each other and select different readers
    Then all of 75 members agree on the reader for a minute, and its table has every member

  Scenario: A failed reader delays changes
    Then an instance reads from the next member when its reader fails
    And an instance without peers reads the source
    And a stale replica counts as a failure

  Scenario: Instances still read from a reader that has left
    Then a member that announces its departure is removed at once
    And an outdated announcement does not restore a member that has left

  Scenario: An old batch restores removed records
    Then changes that the replica already has are ignored
    And a removed record stays removed when an older list arrives
    And changes that do not follow the revision of the replica are ignored

  Scenario: A new instance serves no client until it has read a long list
    Then an instance can place flows with the first page of a list, and keeps other records
    And the first page of a list is published before the next one is read

  Scenario: A peer misses a removal
    Then a peer that is behind receives the removals it lacks
    And a peer that is far behind receives the complete list

  Scenario: A replica that the source does not confirm counts as steady
    Then a gap in the confirmations restarts the steady time

  Scenario: A malformed record invalidates other records
    Then a malformed record removes its upstream and leaves the others

  Scenario: Load reports grow without bound or carry wrong loads
    Then reports and announcements are equal after encoding and decoding
    And random datagrams are rejected as reports and as announcements
    And an instance receives the load of all others through the first member
    And expired reports no longer count
    And an instance reports to the next member when the first one does not answer

  Scenario: Connections of clients that lost power exhaust the server
    Then an idle connection is closed

  Scenario: The message rate of an instance grows with the fleet
    Then the message rate of the busiest instance stays bounded as the fleet grows
    And an ordinary instance in a fleet of design size transfers less than 2 kB a second
