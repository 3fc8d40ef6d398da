@live
Feature: Peers exchange membership and configuration over loopback sockets

  Scenario: Peers converge, propagate a change and detect a dead peer in time
    Given 5 peers on loopback with a stand-in configuration service
    Then the views of all peers converge within 3000 ms
    And a published change is in force on all peers within 2000 ms
    And the peers propagate the change although most of them only poll
    And the death of one peer is detected by all others within 3000 ms
    And a peer that restarts without the stand-in gets the configuration from the others

  Scenario: Oversized messages and malformed data do not stop a peer
    Given 4 peers on loopback with a stand-in configuration service
    Then the views of all peers converge within 3000 ms
    And a message with a length prefix of 1 GB is refused before it is read
    And malformed data and idle connections leave the peer answering

  Scenario: The control traffic of idle peers stays within its budget
    Given 6 peers on loopback with a stand-in configuration service
    Then the views of all peers converge within 3000 ms
    And idle peers send at most 2000 bytes a second each, TCP headers included
