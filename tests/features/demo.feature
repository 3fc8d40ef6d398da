@live
Feature: The demonstration shows what it claims

  Scenario: The demonstration ends with success and within a minute
    When the demonstration runs
    Then its exit code is 0 and it took less than 60 s
