@live
Feature: One malformed entry neither ends an instance nor stops its updates

  Scenario: A deeply nested value raises an error that no caller expects
    Then an entry with any nesting in any field is reported with its upstream
    And a configuration with any nesting in any field is reported
    And a message between instances with any nesting is refused
    And a live upstream whose entry raises an unexpected error is removed

  Scenario: A number that is too large is used, or ends a call
    Then an entry with a number of up to a million digits is decoded or reported in time
    And a reply of a peer with a duration that is no finite time is refused

  Scenario: An entry with a port or an address that no host can have is used
    Then entries with such a port are reported
    And entries with such an address are reported

  Scenario: One malformed item of an answer hides all others
    Then an item without a key or a revision is reported, and the others are used
    And a key that is no text in UTF-8 can end a page
    And pages that do not advance end the call
    And an answer with an impossible revision is refused

  Scenario: Instances end again and again, or stop following the store, after one odd entry
    Then instances serve and follow changes while odd entries are written

  Scenario: An entry that lacks a field moves a live upstream to another service
    Then an entry without one of its fields, or with another type, changes no pool
