Feature: An upstream in slow start gets no more requests than its quota in any second

  Scenario: Instances whose tables differ send more than the quota together
    Then fleets of 9 to 195 instances stay within each quota whatever happens to them
    And so does a fleet of 590 instances while they start, join and are killed

  Scenario: An instance that knows too little of the fleet takes the quota of others
    Then an instance holds nothing before it knows the fleet, nor just after a restart
    And an instance of a large failure domain waits until it knows most members
    And an instance that is cut off, with its failure domain or alone, keeps its part

  Scenario: Requests are not counted, or arrive in the same second as later ones
    Then copies of openings and requests on open flows use up the part
    And requests of two windows never arrive within one second

  Scenario: An upstream that has started again counts as warm, or a warm one as cold
    Then an upstream that was unreachable counts for the period after its return
    And a lost entry that returns counts unless a later number proves its rest
    And an old rest from a store that is away ends within the stated period

  Scenario: A pool in slow start is flooded, or its openings wait in vain
    Then openings wait for the quota, as many as can be in time, and all others are refused at once
    And an opening is refused at once if this instance holds no part of any upstream
    And flows go to warm upstreams while a whole failure domain is in slow start

  Scenario: Upstreams that are not in slow start are limited
    Then the gate is not active without upstreams in slow start, or without both bounds
