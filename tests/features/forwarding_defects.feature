Feature: An unexpected error in one step does not end the process

  Scenario: One unexpected error takes a whole process down
    Then a process forwards after an error in any step between a socket and a decision
    And the replica follows the source again after a batch was lost
    And the error is counted and its place is in the log

  Scenario: A process ends because the reader of its log has gone away
    Then lines for a reader that has gone away are counted as suppressed
