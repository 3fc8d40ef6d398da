Feature: More requests meet their latency target than with simpler policies

  Scenario: Some upstreams queue requests at a demand peak while others are idle
    Then more requests are in time at a demand peak than with simpler policies

  Scenario: Some upstreams queue requests under steady load while others are idle
    Then more requests are in time under steady load than with simpler policies
    And more requests are in time with short flows than with simpler policies
    And more requests are in time under steady load with load reports than without

  Scenario: A slow upstream gets as many flows as the others
    Then more requests are in time with a slow upstream than with simpler policies
    And more requests are in time with a slow upstream if the latency has a weight

  Scenario: All instances select the same upstream between two reports
    Then fewer requests are in time if reported load has the full weight
