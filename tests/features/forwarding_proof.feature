Feature: An open flow is reset only if it is certain that its upstream has ended

  Scenario: Flows of a live upstream are reset because another entry has its address
    Then an entry with the address of a published upstream resets no flow of it
    And the address of a published upstream is probed until the upstream responds
    And flows are reset once the entry is removed and another upstream has the address
    And an upstream that publishes its entry again is not taken as ended any longer

  Scenario: An upstream that has ended counts as reachable because another one accepts the probe
    Then a connection to a shared address does not clear an upstream that refused one
    And a connection to a shared address clears an upstream whose probes timed out

  Scenario: Flows of a live upstream are reset because another one had its address before
    Then an upstream that restarted at another address does not count as the user of the old one
    And an address that an upstream takes over for a moment has its former users after it

  Scenario: Flows of a live upstream are reset because a foreign entry has its address
    Then an entry of a service that no configuration names resets no flow of an expired upstream
    And an upstream returns although a foreign entry has its address
    And a later configuration that names the service makes the entry count
