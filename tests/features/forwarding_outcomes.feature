Feature: Upstreams that fail requests get fewer flows, although their health check is good

  Scenario: An upstream that fails requests at once attracts flows
    Then an upstream with many short answers gets fewer flows than the others
    And an upstream is not avoided if all upstreams of the service send short answers
    And an upstream that answers normally again gets flows again

  Scenario: The size of an answer is taken from the wrong flow
    Then the answers of a flow are counted by size, also several on one flow
    And the sizes of a route are forgotten when the route is removed
    And a flow that was opened through another instance does not count

  Scenario: Each instance sees too few answers of an upstream
    Then load reports carry the answers, and their sum keeps the share of short ones
