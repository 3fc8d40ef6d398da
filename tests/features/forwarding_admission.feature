Feature: Opening packets wait at the instance while the upstreams are full

  Scenario: Clients that return after an outage exhaust their attempts at full upstreams
    Then all requests after an outage at 60% load are served, with few full upstreams
    And more requests after an outage at 90% load are served than without a limit

  Scenario: A burst fills the queues of the upstreams, and every client is late
    Then more requests of a burst are in time than without a limit, and none is lost

  Scenario: A packet waits although upstreams are idle
    Then no packet waits under steady load
    And no request is late for it while instances return one after the other
    And silent upstreams make no request of the others wait

  Scenario: A flow counts as load although another instance forwards its packets
    Then a flow that its client has not opened counts as load for a short time only
    And an opened flow counts as load until its longest request time

  Scenario: An instance assumes that the others are idle because it has no reports
    Then the limit without reports is the equal part of the capacity
    And the limit grows by an equal part of what the reports show as unused
    And a pool with less capacity than instances still gets one request
    And unreachable upstreams have no capacity

  Scenario: An instance that has just started fills the queues of all upstreams
    Then the limit of a new instance grows only while answers are fast

  Scenario: Every client is late because each waits for all before it
    Then a request that can be in time leaves before a late one
    And the newest request that can be in time leaves first
    And a more urgent request leaves first
    And late requests get a turn every few releases

  Scenario: A packet waits for a client that no longer waits
    Then a waiting packet is dropped when its next copy does not arrive
    And a packet that has waited long enough is forwarded above the limit
    And a copy of a waiting packet does not wait twice

  Scenario: A client waits for a service that cannot serve it before its deadline
    Then an opening packet that would wait beyond the timeout of its route is reset
    But a later copy of it is dropped, because the flow may be open by then

  Scenario: A waiting packet follows a state that is no longer in force
    Then a waiting packet whose route was removed is reset
    And a waiting packet does not go to an upstream that drains

  Scenario: A planned stop cuts off packets that wait
    Then a process that stops forwards all waiting packets first
