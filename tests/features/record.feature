Feature: The duplicate record decides once and forgets in time

  Scenario: A duplicate of a request is never new again while it can be asked for
    Given a record that keeps entries for 1000 ms
    Then a begun, answered, fenced or finished request is not new for any copy

  Scenario: A fence holds for its generation and releases a later one
    Given a record that keeps entries for 1000 ms
    Then a request fenced under generation 2 starts only under generation 3

  Scenario: The data path drops old entries, so that memory stays bounded
    When the data path runs for 30 s of ticks after 500 requests of closed flows
    Then its record is empty
