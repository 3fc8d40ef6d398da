Feature: The data path keeps its promises in randomised runs

  Each run drives the real data path and caller library in virtual time. No
  request may be run twice, reported falsely as not run, answered wrongly,
  misrouted or left without an ending, and no flow may break.

  Scenario: Requests are lost although nothing happens
    When the data path runs for 10 s with seeds 1, 2 and no events
    Then no promise is broken in any run
    And every request of every run is done

  Scenario: The death of an instance breaks flows or runs requests twice
    When the data path runs for 10 s with seeds 1, 2 and events kill
    Then no promise is broken in any run

  Scenario: An instance that was paused runs requests of flows that have moved
    When the data path runs for 10 s with seeds 1, 2 and events pause
    Then no promise is broken in any run

  Scenario: A planned stop cuts off requests or breaks flows
    When the data path runs for 10 s with seeds 1, 2 and events stop
    Then no promise is broken in any run
    And no request of any run has an unknown outcome

  Scenario: Two instances take the same upstream for theirs
    When the data path runs for 10 s with seeds 1, 2 and events flap_views
    Then no promise is broken in any run

  Scenario: Lost, doubled and reordered packets change answers or run twice
    When the data path runs for 10 s with seeds 1, 2 and events lose_packets
    Then no promise is broken in any run

  Scenario: A lost link runs requests again or calls them not run
    When the data path runs for 10 s with seeds 1, 2 and events break_link
    Then no promise is broken in any run

  Scenario: A leaving upstream gets new flows after 3 s or loses open ones
    When the data path runs for 12 s with seeds 1, 2 and events drain_upstream
    Then no promise is broken in any run
    And no request of any run has an unknown outcome

  Scenario: A joining instance that takes upstreams over breaks flows
    When the data path runs for 10 s with seeds 1, 2 and events join
    Then no promise is broken in any run
    And no request of any run has an unknown outcome

  Scenario: The withdrawal of a sealing key breaks flows
    When the data path runs for 20 s with seeds 1, 2 and events rotate_key
    Then no promise is broken in any run
    And no request of any run has an unknown outcome

  Scenario: Faults and changes that come together break a promise
    When the data path runs for 15 s with seeds 1, 2, 3, 4 and events all
    Then no promise is broken in any run

  Scenario: A combination of faults that no fixed seed has breaks a promise
    Then no promise is broken in 12 drawn runs of 8 s

  Scenario: A seed gives another run when it is repeated
    Then a run with all events and its repetition give the same report

  Scenario: A request that waited in the socket of a paused instance does not run late
    When the data path runs for 8 s with seeds 41 and events pause
    Then no promise is broken in any run
