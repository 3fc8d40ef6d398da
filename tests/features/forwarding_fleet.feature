Feature: Instances read records and share load together

  Scenario: Every instance of a large fleet reads the published source
    Then one member of a failure domain reads the source and the others follow it
    And members come to know their failure domain from one seed

  Scenario: Members of a large failure domain forget each other and read from different ones
    Then all of 75 members agree on the reader for a minute, and it knows all of them

  Scenario: A reader that fails holds back changes
    Then an instance goes to the next member when its reader fails
    And an instance that knows nobody reads the source
    And a replica that is too old counts as a failure

  Scenario: A reader that left is still asked
    Then a member that announces its leaving is forgotten at once
    And a late rumour does not bring a member back that has left

  Scenario: An old batch brings back what was removed
    Then changes that the replica already has are ignored
    And a removed record stays removed when an older list arrives
    And changes with a gap before them are refused

  Scenario: A new instance serves nobody until it has read a long list
    Then an instance can place flows with the first part of a list, without forgetting others
    And the first part of a list is handed over before the next one is read

  Scenario: A peer misses a removal
    Then a peer that is behind gets the removals it lacks
    And a peer that is far behind gets the complete list

  Scenario: A replica that nobody confirms looks fresh
    Then a gap in the confirmations starts the steady time anew

  Scenario: A malformed record takes the others with it
    Then a malformed record hides one upstream and leaves the others

  Scenario: Load reports grow without bound or mislead
    Then reports and announcements survive encoding
    And random datagrams are neither reports nor announcements
    And an instance learns the load of all others through the first one
    And reports that are too old no longer count
    And an instance reports to the next member when the first one is silent

  Scenario: Connections of callers that lost their power fill the server
    Then a connection that is silent for long is closed

  Scenario: The messages of an instance grow with the fleet
    Then the messages of the busiest instance stay bounded as the fleet grows
    And an ordinary instance of the design size sends and receives less than 2 kB a second
