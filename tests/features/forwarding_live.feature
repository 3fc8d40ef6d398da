@live
Feature: Real instances forward between stand-ins of clients, upstreams and the store

  Scenario: Instances, upstreams and the configuration change under load
    Given a deployment of 4 instances and 6 upstreams
    Then requests succeed on all routes
    And an instance that is killed and started again serves
    And an instance that is asked to stop forwards until it ends
    And a drained upstream gets no new flows
    And users of an upstream that died go on elsewhere
    And an added route serves and a route that is not there is refused
    And a change of the settings file or a hang-up signal ends nothing
    And the metrics page shows the counters and histograms
    And the log explains each placement and reset

  Scenario: A reader of the log that does not read stops the packets
    Then an instance whose log is not read still serves and counts what it dropped

  Scenario: The log of a long list of records hides when a process began to serve
    Then a flood of lines does not displace the line that says that it serves

  Scenario: An instance that pauses opens flows at several upstreams
    Then users of one of them that dies go on, and no other flow is reset

  Scenario: Faults in series and at once break a promise
    Then a seeded soak breaks no promise
