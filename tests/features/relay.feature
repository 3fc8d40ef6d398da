Feature: The plain TCP entrance relays complete streams to the right service

  Scenario: A half-close by the caller does not truncate the answer
    Given a relay to the echo upstreams "u1" of service "desk"
    When a caller sends 300000 bytes and half-closes
    Then the caller receives the same 300000 bytes and then end of stream
    And the relay counts 1 "relay.finished"

  Scenario: A half-close by the upstream does not truncate the caller's data
    Given a relay to the greeting upstreams "u1" of service "desk"
    When a caller reads the greeting to end of stream and then sends 200000 bytes
    Then upstream "u1" has received 200000 bytes and then end of stream

  Scenario: A caller that does not read does not make the buffers of the relay grow
    Given a relay to the flooding upstreams "u1" of service "desk"
    When a caller connects and does not read
    Then the upstream stops sending while the relay allocates at most 1000000 bytes
    And the upstream sends again after the caller reads

  Scenario: A refused connection is retried at another upstream
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    And the upstream that is selected first refuses connections
    When a caller sends 1000 bytes and half-closes
    Then the caller receives the same 1000 bytes and then end of stream
    And the relay counts 1 "relay.connect_failed"

  Scenario: A connection attempt that times out is retried at another upstream
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    And the upstream that is selected first does not answer connection attempts
    When a caller sends 1000 bytes and half-closes
    Then the caller receives the same 1000 bytes and then end of stream
    And the relay counts 1 "relay.connect_timeout"

  Scenario: A connection that has transferred data is not retried at another upstream
    Given a relay to the resetting upstreams "u1, u2" of service "desk"
    When a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And one upstream received one connection and the other received none
    And the relay counts 1 "relay.reset_by_upstream"

  Scenario: A reset by the caller does not look like a normal close to the upstream
    Given a relay to the echo upstreams "u1" of service "desk"
    When a caller sends 1000 bytes and resets the connection
    Then upstream "u1" sees a reset
    And the relay counts 1 "relay.reset_by_caller"

  Scenario: An idle connection is reset after the idle timeout and an active one is not
    Given a relay to the echo upstreams "u1" of service "desk"
    And an idle timeout of 1 s
    When a caller exchanges 6 bytes, one every 0.25 s, and then is idle
    Then the caller sees a reset between 0.7 s and 4 s later
    And the relay counts 1 "relay.idle_closed"

  Scenario: A graceful stop does not cut open connections and accepts no new ones
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 10 s while one connection is open
    Then a new connection is refused
    And the open connection still echoes and closes normally
    And the stop reports 1 finished and 0 cut

  Scenario: A graceful stop resets the connections that are still open at its timeout
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 0.2 s while one connection is open
    Then the caller sees a reset
    And the stop reports 0 finished and 1 cut
    And the relay counts 0 "relay.idle_closed"

  Scenario: A wrong selection does not connect a caller to another service
    Given a relay to the echo upstreams "u1" of service "desk"
    And an upstream "x1" of service "other"
    And a chooser that always selects "x1"
    When a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And upstream "x1" has received 0 connections
    And the relay counts 1 "relay.rejected_choice"

  Scenario: A leaving upstream receives no new connection
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    When "u1" is published as leaving
    And 6 callers connect one after the other
    Then upstream "u1" has received 0 connections
    And upstream "u2" has received 6 connections

  Scenario: A selection from outdated lists does not connect to a leaving upstream
    Given a relay to the echo upstreams "u1" of service "desk"
    And a chooser that always selects "u1"
    When "u1" is published as leaving
    And a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And upstream "u1" has received 0 connections

  Scenario: Connections do not accumulate at one of several equal upstreams
    Given a relay to the echo upstreams "u1, u2, u3" of service "desk"
    When 9 callers keep their connections open
    Then each upstream has 3 open connections

  Scenario: Connections over the allowance of the stream customer are refused
    Given a relay to the echo upstreams "u1" of service "desk"
    And an allowance of 2 connections
    When 3 callers keep their connections open
    Then 1 of them sees a reset
    And the relay counts 1 "relay.refused_limit"
    And another caller can connect after one of them is closed

  Scenario: A service without a stream customer accepts no connection
    Given a relay to the echo upstreams "u1" of service "desk"
    When the service is published without a stream customer
    And a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And the relay counts 1 "relay.refused_no_customer"

  Scenario: A change of the listen addresses does not interrupt open connections
    Given a relay to the echo upstreams "u1" of service "desk"
    When the listen address is replaced while one connection is open
    Then the old address refuses connections and the new one relays
    And the open connection still echoes and closes normally

  Scenario: An address that is in use at first is bound once it is free
    Given a relay to the echo upstreams "u1" of service "desk"
    And another process holds a second address
    When the second address is added to the listen addresses
    Then a finding names the second address
    When the other process releases the second address
    Then the second address relays within 3 s

  Scenario: Lists applied during a graceful stop do not open listeners again
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 10 s while one connection is open
    And the listen addresses are applied again
    Then a new connection is refused
