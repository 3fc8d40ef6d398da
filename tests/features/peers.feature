@live
Feature: Peers exchange over real sockets

  Scenario: Peers converge, spread a change and detect a death in time
    Given 5 peers on loopback that read from a stand-in
    Then all see each other within 3000 ms
    And a published change is in force on all within 2000 ms
    And the change is spread by the peers although most of them only poll
    And the death of one is seen by all others within 3000 ms
    And the fleet keeps its configuration when the stand-in is absent and one restarts

  Scenario: Oversized messages and noise do not stop a peer
    Given 4 peers on loopback that read from a stand-in
    Then all see each other within 3000 ms
    And a message that announces 1 GB is refused before it is read
    And noise on the port and idle connections leave the peer answering

  Scenario: The control traffic stays within its budget on the sockets
    Given 6 peers on loopback that read from a stand-in
    Then all see each other within 3000 ms
    And quiet peers send at most 2000 bytes a second each, headers of TCP included
