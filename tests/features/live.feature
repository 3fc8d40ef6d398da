@live
Feature: The invariants hold between real processes when instances fail

  Scenario: A killed instance breaks no flow, and its non-idempotent requests are not run again
    When a live deployment runs with these events
      | at_s | action             |
      | 1    | kill owner:desk-u1 |
    Then every invariant holds
    And flows were resumed

  Scenario: A paused instance, when resumed, runs no request of flows that moved
    When a live deployment runs with these events
      | at_s | action                |
      | 1    | pause owner:desk-u1 4 |
    Then every invariant holds
    And flows were resumed

  Scenario: A partition between two failure domains breaks no flow
    Given the live deployment has a faulty network
    When a live deployment runs with these events
      | at_s | action        |
      | 1    | partition a b |
      | 5    | heal          |
    Then every invariant holds

  Scenario: Without the configuration service, instances serve and take over with their last configuration
    When a live deployment runs with these events
      | at_s | action             |
      | 0    | platform down      |
      | 1    | kill owner:desk-u1 |
      | 6    | platform up        |
    Then every invariant holds
    And flows were resumed

  Scenario: A kill during a pause, a drain and packet loss breaks no flow
    When a live deployment runs with these events
      | at_s | action                                          |
      | 0    | rule fabric bad loss=0.05 duplicate=0.1         |
      | 1    | pause owner:desk-u1 3                           |
      | 1.5  | kill owner:desk-u3                              |
      | 2    | drain desk-u2                                   |
    Then every invariant holds
    And flows were resumed
