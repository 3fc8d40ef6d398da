@live
Feature: Planned changes of real processes do not affect callers

  Scenario: A draining upstream gets no new flow after 3 s and keeps its open ones
    When a live deployment runs with these events
      | at_s | action        |
      | 1    | drain desk-u1 |
    Then every invariant holds
    And no upstream received a new flow more than 3 s after its drain began

  Scenario: Replacing every instance in turn breaks no flow and interrupts no request
    Given the live deployment runs for 23 s
    When a live deployment runs with these events
      | at_s | action      |
      | 1    | replace_all |
    Then every invariant holds
    And flows were resumed
    And no request was interrupted

  Scenario: Flows are resumed when the owner of their upstream changes and changes back
    Given the live deployment runs for 18 s
    When a live deployment runs with these events
      | at_s | action    |
      | 1    | join b    |
      | 10   | stop b-i3 |
    Then every invariant holds
    And flows were resumed

  Scenario: A change of plans is in effect on every instance within 2 s
    Given the live deployment runs for 4 s
    When a live deployment runs with these events
      | at_s | action                       |
      | 1    | publish wide rate_per_s=400  |
    Then every invariant holds
    And the change was in effect on every instance within 2 s
