Feature: Packets of a flow reach its upstream, and only that one

  Scenario: A flow breaks when its packets move to another instance
    Then an instance without the flow sends its packets to the same upstream

  Scenario: A packet reaches another process that has the address of its upstream
    Then every packet to an upstream is framed with the id of its upstream

  Scenario: A client waits for a route that does not exist
    Then an opening packet without a route is reset
    And an opening packet is dropped while no configuration is known

  Scenario: A configuration reverts
    Then an older configuration is ignored

  Scenario: A removed route cuts its open flows
    Then packets of an open flow go on after its route was removed

  Scenario: A draining or departed upstream gets new flows
    Then an upstream that drains keeps its flows and gets no new ones
    And an upstream whose entry was removed keeps its flows for a while

  Scenario: All entries of a service lapse for a moment
    Then upstreams whose entries have just disappeared still get flows

  Scenario: Two upstreams have the same token
    Then the smaller id gets the token on every instance
    And the other one gets flows once the token is free

  Scenario: An upstream that does not answer gets the second copy too
    Then the second copy of an opening packet goes to another upstream

  Scenario: A healthy flow is reset
    Then a silent upstream that accepts a connection is not given up
    And a packet that carries no payload is never answered by a reset
    And a token is reset only after the source has not known it for long

  Scenario: Users stay with an upstream that died
    Then flows of an upstream that answers no probe are reset
    And flows of an upstream whose address is used again are reset
    And an upstream that can be reached again keeps its flows
    And an answer on another path does not make an upstream reachable
    And the upstreams of a failure domain are suspected together

  Scenario: Users of a cut failure domain wait although their upstream is given up
    Then users of an unreachable upstream are let go at once, however busy the others are

  Scenario: Packets of an upload that overtake each other look like silence
    Then reordered packets of a window are no retransmissions
    And a packet that is sent again after a pause is one

  Scenario: A user whose request a lost upstream had taken waits until the deadline
    Then users that wait for an upstream are let go when it is lost
    And users that were answered, gave up or must not ask twice are left alone

  Scenario: Flows leave the region although it has room
    Then flows stay in the region while it has free slots, and leave it when it has none
    And a failure domain that the settings do not name counts as near

  Scenario: An upstream starts again under its id
    Then the new incarnation gets flows under the same token

  Scenario: An opening packet of a large service takes ever longer
    Then a flow chooses between a bounded number of upstreams, half of them near
    And every upstream of a large service gets flows

  Scenario: A request that nobody answers counts as load for good
    Then a request counts for a bounded time

  Scenario: The table of flows grows without bound
    Then the table of flows stays within its capacity
    And flows that have been idle for long are forgotten

  Scenario: A malformed datagram stops the process
    Then random datagrams are dropped or forwarded without an error
