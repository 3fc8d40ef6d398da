Feature: Many instances load the upstreams of a service evenly with old reports

  Scenario: Upstreams that a full report has no row of look idle to all instances
    Then they count with the least load that the report has
    But a report with few rows leaves out idle upstreams only
