@live
Feature: The demonstration runs and succeeds

  Scenario: The demonstration exits successfully within a minute
    When the demonstration runs
    Then its exit code is 0 and it takes less than 60 s
