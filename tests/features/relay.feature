Feature: The plain TCP entrance keeps connections whole and services apart

  Scenario: A caller that ends its side first still gets the complete answer
    Given a relay to the echo upstreams "u1" of service "desk"
    When a caller sends 300000 bytes and ends its side
    Then the caller receives the same 300000 bytes and then the end
    And the relay counts 1 "relay.finished"

  Scenario: An upstream that ends its side first still gets all of the caller's bytes
    Given a relay to the greeting upstreams "u1" of service "desk"
    When a caller reads the greeting up to its end and then sends 200000 bytes
    Then upstream "u1" has received 200000 bytes and then the end

  Scenario: A slow reader stops the sender instead of growing the buffers
    Given a relay to the flooding upstreams "u1" of service "desk"
    When a caller connects and does not read
    Then the upstream stops sending while the relay allocates at most 1000000 bytes
    And reading again makes the upstream send again

  Scenario: A failed connect moves to another upstream
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    And the first choice refuses connections
    When a caller sends 1000 bytes and ends its side
    Then the caller receives the same 1000 bytes and then the end
    And the relay counts 1 "relay.connect_failed"

  Scenario: A connect that is not answered in time moves to another upstream
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    And the first choice does not answer connects
    When a caller sends 1000 bytes and ends its side
    Then the caller receives the same 1000 bytes and then the end
    And the relay counts 1 "relay.connect_timeout"

  Scenario: A connection that has carried bytes never moves to another upstream
    Given a relay to the resetting upstreams "u1, u2" of service "desk"
    When a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And exactly one upstream was connected once
    And the relay counts 1 "relay.reset_by_upstream"

  Scenario: A reset of the caller reaches the upstream as a reset
    Given a relay to the echo upstreams "u1" of service "desk"
    When a caller sends 1000 bytes and resets
    Then upstream "u1" sees a reset
    And the relay counts 1 "relay.reset_by_caller"

  Scenario: A silent connection is reset after the idle timeout and not before
    Given a relay to the echo upstreams "u1" of service "desk"
    And an idle timeout of 1 s
    When a caller exchanges 6 bytes, one every 0.25 s, and then stays silent
    Then the caller sees a reset between 0.7 s and 4 s later
    And the relay counts 1 "relay.idle_closed"

  Scenario: A graceful stop lets open connections finish and accepts no new ones
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 10 s while one connection is open
    Then a new connection is refused
    And the open connection still echoes and ends in order
    And the stop reports 1 finished and 0 cut

  Scenario: A graceful stop resets what is still open at its timeout
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 0.2 s while one connection is open
    Then the caller sees a reset
    And the stop reports 0 finished and 1 cut
    And the relay counts 0 "relay.idle_closed"

  Scenario: A wrong choice never reaches an upstream of another service
    Given a relay to the echo upstreams "u1" of service "desk"
    And an upstream "x1" of service "other"
    And a chooser that always answers "x1"
    When a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And upstream "x1" was connected 0 times
    And the relay counts 1 "relay.rejected_choice"

  Scenario: A leaving upstream gets no new connection
    Given a relay to the echo upstreams "u1, u2" of service "desk"
    When "u1" is published as leaving
    And 6 callers connect one after the other
    Then upstream "u1" was connected 0 times
    And upstream "u2" was connected 6 times

  Scenario: A choice made under older lists does not reach a leaving upstream
    Given a relay to the echo upstreams "u1" of service "desk"
    And a chooser that always answers "u1"
    When "u1" is published as leaving
    And a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And upstream "u1" was connected 0 times

  Scenario: Connections are spread over the upstreams
    Given a relay to the echo upstreams "u1, u2, u3" of service "desk"
    When 9 callers hold their connections
    Then each upstream holds 3 connections

  Scenario: Connections over the allowance of the stream customer are refused
    Given a relay to the echo upstreams "u1" of service "desk"
    And an allowance of 2 connections
    When 3 callers hold their connections
    Then 1 of them sees a reset
    And the relay counts 1 "relay.refused_limit"
    And ending one of them lets another caller connect

  Scenario: A service without a stream customer is not served for free
    Given a relay to the echo upstreams "u1" of service "desk"
    When the service is published without a stream customer
    And a caller sends 1000 bytes and waits
    Then the caller sees a reset
    And the relay counts 1 "relay.refused_no_customer"

  Scenario: New lists close and open listeners without touching open connections
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is told to listen on another address while one connection is open
    Then the old address refuses connections and the new one relays
    And the open connection still echoes and ends in order

  Scenario: An address that is still in use is bound as soon as it is free
    Given a relay to the echo upstreams "u1" of service "desk"
    And another process holds a second address
    When the relay is told to listen on the second address as well
    Then a finding names the second address
    When the other process releases the second address
    Then the second address relays within 3 s

  Scenario: Lists taken during a graceful stop do not open addresses again
    Given a relay to the echo upstreams "u1" of service "desk"
    When the relay is stopped with a timeout of 10 s while one connection is open
    And the relay is told to listen again
    Then a new connection is refused
