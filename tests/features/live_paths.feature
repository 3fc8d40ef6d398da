@live
Feature: The invariants hold between real processes when paths and upstreams fail

  Scenario: A restarted upstream loses its own flows only, and requests on it are not repeated
    When a live deployment runs through these events
      | at_s | action          |
      | 1    | restart desk-u1 |
    Then every invariant holds

  Scenario: Packets that vanish on the way to one instance break no flow
    When a live deployment runs through these events
      | at_s | action                                           |
      | 1    | rule fabric to source=caller target=a/a-i1 cut=1 |
    Then every invariant holds

  Scenario: A silent path between the callers and one instance breaks no flow
    Given the live deployment runs for 14 s
    When a live deployment runs through these events
      | at_s | action                                                 |
      | 1    | rule fabric to source=caller target=a/a-i1 cut=1       |
      | 1    | rule fabric from source=a/a-i1 target=caller cut=1     |
    Then every invariant holds

  Scenario: Lost, doubled and reordered packets run nothing twice
    When a live deployment runs through these events
      | at_s | action                                                     |
      | 0    | rule fabric bad loss=0.1 duplicate=0.2 reorder=0.2         |
    Then every invariant holds

  Scenario: Opens that are sent again over a slow path open no flow on two upstreams
    When a live deployment runs through these events
      | at_s | action                          |
      | 0    | rule fabric slow delay_ms=150   |
    Then every invariant holds
