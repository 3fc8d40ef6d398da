Feature: Accepted configuration reaches every instance and never goes back

  Scenario: Every fault of the service is a finding and leaves the documents in force
    Given a reader on a stand-in that serves version 1 of the plans
    Then an absent, slow, malformed, torn or silently torn answer is a finding
    And the reader holds version 1 of the plans all the while
    And it reads version 2 after the faults have ended

  Scenario: Arbitrary listings are findings and not exceptions
    Given a reader on a stand-in that serves version 1 of the plans
    Then 200 arbitrary listings are findings or valid

  Scenario: A refused document is read once and its findings are kept
    Given a reader on a stand-in that serves version 1 of the plans
    When a version of the plans with one wrong key is published
    And the reader reads 5 times
    Then the wrong version was read once and its finding names the key
    And the reader holds version 1 of the plans all the while
    And it reads a corrected version at once

  Scenario: A stale or restarted service never lowers a version
    Given a reader on a stand-in that serves version 1 of the plans
    When the service publishes version 5 and then serves version 2
    Then the reader holds version 5 of the plans and counts the older one

  Scenario: Only a few instances of each failure domain hold a watch
    Then 3 instances of each failure domain are watchers and an isolated one is too

  Scenario: A watcher learns of a change at once and a poller at its interval
    Given a reader on a stand-in that serves version 1 of the plans
    Then a watcher has a published change in force within 500 ms
    And a poller makes no more reads than its interval allows

  Scenario: Random changes, older copies and restarts never lower a version
    Then fleets with random copies reach the highest version and no instance goes back
    And a store that takes any version goes back

  Scenario: An instance that restarts while the service is away or stale gets the newest documents
    Then a restarted instance holds the highest version within 2000 ms without the service
    And one that is first handed an older copy does so too

  Scenario: A malformed document from a peer is refused as a whole
    Then documents from peers that are malformed, oversized or bombs are not taken

  Scenario: Forged, redirected, replayed and outdated messages between peers are refused
    Given two instances that exchange
    Then a changed, foreign or cut request is refused
    And a request is refused by another instance
    And a repeated request is refused, also out of order
    And a repeated request to a new process brings no leases or loads
    And an answer to an older request or from another instance is refused
    And a message of schema version 0 is refused with its reason
    And more than 40 requests a second of one sender are refused
    And a gate without nonces takes the repeated request

  Scenario: Both cluster keys are accepted while they are rotated
    Given two instances that exchange
    Then an instance with the next key and the previous key exchanges with both
