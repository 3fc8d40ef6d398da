Feature: Settings, documents, cookies and datagrams are checked as a whole

  Scenario: Settings report every finding with its place
    Given settings with three errors
    When the settings are parsed
    Then the findings name "instance name", "flow keepalive_ms" and "flow colour"

  Scenario: A document with one error is refused and the last good version stays
    Given a snapshot that holds version 3 of the plans
    When version 4 of the plans arrives with a negative rate
    Then it is refused with a finding on "plan gold" and "rate_per_s"
    And version 3 stays in force

  Scenario: A lower version never replaces a higher one
    Given a snapshot that holds version 3 of the plans
    When version 2 of the plans arrives with another rate
    Then version 3 stays in force

  Scenario: A forged, cut short or foreign cookie does not open
    Given a sealed cookie
    Then it opens for its own flow
    And no changed byte of it opens
    And no shorter form of it opens
    And it does not open for another flow

  Scenario: Cookies open while keys rotate
    Given a sealed cookie
    When a second key becomes current and the first stays accepted
    Then it opens for its own flow
    When the first key is withdrawn
    Then it does not open for its own flow

  Scenario: Arbitrary bytes never raise an error in a decoder
    Then 2000 arbitrary datagrams are decoded or counted

  Scenario: Bodies survive loss, duplication and reordering of chunks
    Then 200 random bodies are reassembled from lossy, reordered chunks
