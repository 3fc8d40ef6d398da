@live
Feature: Real instances forward between stand-ins for clients, upstreams and the store

  Scenario: Instances, upstreams and the configuration change under load
    Given a deployment of 4 instances and 6 upstreams
    Then requests succeed on all routes
    And an instance that is killed and restarted serves again
    And an instance that receives a stop signal forwards until it exits
    And a draining upstream receives no new flows
    And clients of a failed upstream are reset and served by others
    And an added route serves and an unknown route is refused
    And a change of the settings file or a hang-up signal ends no process
    And the metrics page shows the counters and histograms
    And the log explains each placement and reset

  Scenario: A stalled reader of the log blocks forwarding
    Then a log that is not read does not block, and counts the dropped lines

  Scenario: Lines about a long list of records displace the line about the start of serving
    Then a flood of routine lines does not displace milestone lines

  Scenario: A paused instance opens the same flow at several upstreams
    Then clients of one of them are reset when it fails, and no other flow is reset

  Scenario: Instances that restart after a restore use an older configuration and departed upstreams
    Then instances that restart in turn keep what the older copy of the store lacks

  Scenario: A process sends a window at once although its link is slow
    Then a window leaves at the rate of the link and in order, and its bytes are intact

  Scenario: A live upstream that many instances probe counts as failed
    Then a stand-in upstream accepts many connections, and none after it failed

  Scenario: Sequential and simultaneous faults break a guarantee
    Then a seeded soak breaks no guarantee
