Feature: A configuration is checked before it is written to the store

  Scenario: An error shows only after the one before it was corrected
    Then all invalid fields are reported at once with line and key

  Scenario: The check accepts what instances reject, or the other way round
    Then the check reports an error for exactly the values that the decoder rejects
    And each report of an invalid number or port states its range

  Scenario: An entry that can never match is not noticed
    Then replaced routes, shares without flows and unused services are reported

  Scenario: Limits that contradict each other are not noticed
    Then contradicting limits are reported with line and key
    And limits that just agree are not reported

  Scenario: Text that is no JSON ends the check, or a repeated key hides a value
    Then malformed text is reported with its line
    And a repeated key is reported

  Scenario: A version that instances ignore or cannot order is written
    Then a version below the one in force is an error
    And other content under the version in force is a warning
    And the configuration in force itself gives no finding

  Scenario: A change is hidden or shown in the wrong direction
    Then each difference from the version in force is reported
    And numbers that differ in the last digit are reported as different

  Scenario: The version in force is not found in a store of several pages
    Then it is read from the store, which gets only reads

  Scenario: A script mistakes an unreadable input for a result
    Then files and stores that cannot be read give exit code 3
    And the exit code is that of the worst finding, also from a shell
    And the JSON form has the same findings as the text
