Feature: The adapter converts between the formats of the platform and the product

  Scenario: Names that only the platform defines appear in the product
    Then no module of the product imports the adapter or contains its keys

  Scenario: The adapter folder shadows the standard module of the same name
    Then the standard module platform can be imported at the repository root

  Scenario: Start-up imports modules that forwarding does not need
    Then start-up on the platform imports no slow module

  Scenario: Header fields are decoded in the wrong order
    Then the example packet of the platform is decoded and reset as documented

  Scenario: A malformed entry or configuration is used
    Then entries with missing or invalid fields are reported with their upstream
    And configurations with missing or invalid fields are reported as malformed
    And a route with several services splits its flows by weight

  Scenario: The store fails or returns unusable data
    Given a store with 120 entries
    Then all pages are read, and later changes are returned
    And lost history raises its own error
    And every other fault of the store raises an error instead of an empty list
    And an undecodable item does not hide the others

  Scenario: Settings are converted to wrong options or their changes are missed
    Then the settings of the platform are converted to the options of a process
    And changed settings cause one reload, unreadable ones and requests one each time
