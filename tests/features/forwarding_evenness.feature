Feature: Many instances load the upstreams of a service evenly with old reports

  Scenario: Instances select the same upstream until the next report
    Then the busiest upstream has at most 1.15 times the mean work on a quiet day
    And fewer flows meet a full upstream than by least cost, and wait for less time

  Scenario: Upstreams become slower or demand rises, and the work is not moved
    Then the busiest upstream has at most 1.4 times the mean work under shortage

  Scenario: The loss of an aggregator makes instances choose by what they last heard
    Then the busiest upstream has at most 1.15 times the mean work without an aggregator

  Scenario: A small fleet, which knows the load from its own requests, is served worse
    Then a fleet of 9 instances places each flow as by least cost

  Scenario: Instances disregard failure domains, or disagree after each change
    Then an instance prefers upstreams of its own failure domain
    And an upstream that comes or goes changes at most one preferred upstream
    And an upstream that no instance prefers still gets flows

  Scenario: Preferred upstreams are overloaded or gone while others are idle
    Then the whole pool is compared if all preferred upstreams are busy
    And the whole pool is compared if all preferred upstreams are unreachable

  Scenario: Upstreams that a full report has no row of look idle to all instances
    Then they count with the least load that the report has
    But a report with few rows leaves out idle upstreams only
