Feature: A limit of single upstreams holds wherever a flow is placed

  Scenario: A flow is placed on an upstream that has no room
    Then a flow goes only to an upstream that every gate admits
    And an opening packet waits while no upstream is admitted, and leaves when one is

  Scenario: A packet that may not wait any longer is held back by a limit that may give way
    Then an overdue packet is forwarded although a gate refuses all upstreams
    But it is reset if the gate is mandatory

  Scenario: Limits of the configuration are lost or misread
    Then the limits of each service are read, and 0 where it states none
    And a negative limit makes the configuration malformed
    And the settings without bounds on slow start, or without a link rate, ask for neither
