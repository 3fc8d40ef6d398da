@live
Feature: The invariants hold between real processes when paths and upstreams fail

  Scenario: A restarted upstream loses only its own flows, and its non-idempotent requests are not run again
    When a live deployment runs with these events
      | at_s | action          |
      | 1    | restart desk-u1 |
    Then every invariant holds

  Scenario: Loss of all packets from callers to one instance breaks no flow
    When a live deployment runs with these events
      | at_s | action                                           |
      | 1    | rule fabric to source=caller target=a/a-i1 cut=1 |
    Then every invariant holds

  Scenario: Loss of all packets between callers and one instance in both directions breaks no flow
    Given the live deployment runs for 14 s
    When a live deployment runs with these events
      | at_s | action                                                 |
      | 1    | rule fabric to source=caller target=a/a-i1 cut=1       |
      | 1    | rule fabric from source=a/a-i1 target=caller cut=1     |
    Then every invariant holds

  Scenario: Lost, duplicated and reordered packets run no non-idempotent request twice
    When a live deployment runs with these events
      | at_s | action                                                     |
      | 0    | rule fabric bad loss=0.1 duplicate=0.2 reorder=0.2         |
    Then every invariant holds

  Scenario: Opens that are resent over a slow path open no flow on two upstreams
    When a live deployment runs with these events
      | at_s | action                          |
      | 0    | rule fabric slow delay_ms=150   |
    Then every invariant holds
    And no flow was opened on two upstreams
