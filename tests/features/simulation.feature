Feature: The data path keeps its guarantees in randomised runs

  Each run drives the real data path and client library in virtual time. No
  non-idempotent request may run twice. No request may be executed and reported
  as not run, answered wrongly, misrouted or left without an outcome, and no flow
  may break.

  Scenario: Requests are lost without any fault or change
    When the data path runs for 10 s with seeds 1, 2 and no events
    Then no guarantee is violated in any run
    And every request of every run is done

  Scenario: The failure of an instance breaks flows or runs requests twice
    When the data path runs for 10 s with seeds 1, 2 and events kill
    Then no guarantee is violated in any run

  Scenario: A resumed instance runs requests of flows that moved to another instance
    When the data path runs for 10 s with seeds 1, 2 and events pause
    Then no guarantee is violated in any run

  Scenario: A planned stop interrupts requests or breaks flows
    When the data path runs for 10 s with seeds 1, 2 and events stop
    Then no guarantee is violated in any run
    And no request of any run has an unknown outcome

  Scenario: Two instances that both claim an upstream break flows or run requests twice
    When the data path runs for 10 s with seeds 1, 2 and events flap_views
    Then no guarantee is violated in any run

  Scenario: Lost, duplicated and reordered packets corrupt answers or run requests twice
    When the data path runs for 10 s with seeds 1, 2 and events lose_packets
    Then no guarantee is violated in any run

  Scenario: A broken link runs requests again or reports executed ones as not run
    When the data path runs for 10 s with seeds 1, 2 and events break_link
    Then no guarantee is violated in any run

  Scenario: A leaving upstream gets new flows after 3 s or loses open flows
    When the data path runs for 12 s with seeds 1, 2 and events drain_upstream
    Then no guarantee is violated in any run
    And no request of any run has an unknown outcome

  Scenario: A joining instance that takes over upstreams breaks flows
    When the data path runs for 10 s with seeds 1, 2 and events join
    Then no guarantee is violated in any run
    And no request of any run has an unknown outcome

  Scenario: The withdrawal of a sealing key breaks flows
    When the data path runs for 20 s with seeds 1, 2 and events rotate_key
    Then no guarantee is violated in any run
    And no request of any run has an unknown outcome

  Scenario: Concurrent faults and changes violate a guarantee
    When the data path runs for 15 s with seeds 1, 2, 3, 4 and events all
    Then no guarantee is violated in any run

  Scenario: A combination of faults that no fixed seed covers violates a guarantee
    Then no guarantee is violated in 12 random runs of 8 s

  Scenario: A repeated seed gives a different run
    Then a run with all events and its repetition give the same report

  Scenario: A request that waited in the socket of a paused instance runs after its deadline
    When the data path runs for 8 s with seeds 41 and events pause
    Then no guarantee is violated in any run
