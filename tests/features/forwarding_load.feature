Feature: New flows are placed well when load is at its worst

  Scenario: Some upstreams queue while others are idle at the crest of a swing
    Then more requests are in time at the crest than with simpler policies

  Scenario: Steady load and only short flows
    Then more requests are in time under steady load than with simpler policies
    And more requests are in time with short flows than with simpler policies
    And reports of the other instances help under steady load

  Scenario: A slow upstream gets as many flows as the others
    Then more requests are in time beside a slow upstream than with simpler policies
    And weighing the latency helps beside a slow upstream

  Scenario: All instances choose the same upstream between two reports
    Then the full weight of reports is worse than a small one
