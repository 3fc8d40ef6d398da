Feature: Records of other writers are decoded, or reported without harm to the others

  Scenario: Clients of a failed upstream wait although their request may be repeated
    Then a download may be repeated by its client like a safe request

  Scenario: One malformed record hides the records that follow it
    Then a record with any JSON value in any field is decoded or reported as malformed
    And the records after a malformed one are applied, and the log can be written
    And the records after one that raises an unexpected error are applied

  Scenario: A malformed announcement stops the exchange between instances
    Then an announcement with any number in any field is decoded or refused
    And announcements can be sent after a malformed one was received
