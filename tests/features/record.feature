Feature: The duplicate record prevents a second run and stays bounded in memory

  Scenario: A delayed copy of a request does not start it a second time
    Given a duplicate record with a retention of 1000 ms
    Then a copy of a running, answered, fenced or finished request is not new

  Scenario: A fenced request does not start before a later generation of its flow
    Given a duplicate record with a retention of 1000 ms
    Then a request fenced under generation 2 starts only under generation 3

  Scenario: Entries of closed flows do not accumulate in memory
    When the data plane ticks for 30 s after 500 requests of closed flows
    Then the duplicate record is empty
