Feature: The adapter translates the platform and nothing else

  Scenario: The platform's words leak into the product
    Then no module of the product imports the adapter or names its keys

  Scenario: The folder of the adapter hides the standard module of its name
    Then the standard module platform is found from the root

  Scenario: A start loads what forwarding does not need
    Then a start on the platform loads no slow module

  Scenario: A header is read in the wrong order
    Then the example packet of the platform is read and reset as described

  Scenario: A malformed entry or configuration is used
    Then entries with missing or wrong fields are reported with their place
    And configurations with missing or wrong fields are reported with their place
    And a route with several services shares its flows by weight

  Scenario: The store misbehaves
    Given a store with 120 entries
    Then all pages are read and changes follow
    And lost history is reported as such
    And every other fault of the store is an error and not an empty list
    And an item that cannot be read does not hide the others

  Scenario: Settings are read wrongly
    Then the settings of the platform become the options of a process
    And changed settings are noticed once, unreadable ones and requests each time
