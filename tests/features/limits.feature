Feature: Allowances hold over all instances together

  Scenario: A bucket admits neither too much nor too little
    Then 300 random uses of a bucket agree with exact arithmetic

  Scenario: A clock that steps back gives a bucket no tokens
    Then a bucket that is asked at an earlier time stays empty

  Scenario: A fair division gives away neither too much nor a part of a unit
    Then 500 random fair divisions are within the pool and max-min fair

  Scenario: Lost, late and repeated messages, partitions and pauses never lead above a plan
    Given leases with the real protocol
    Then 24 disturbed runs of leases stay within the plans

  Scenario Outline: The check of disturbed runs notices a broken protocol: <fault>
    Given leases with the fault "<fault>"
    Then one of 24 disturbed runs of leases exceeds a plan

    Examples:
      | fault                                          |
      | the grantor ignores outstanding shares         |
      | the grantor forgets a share it has replaced    |
      | the grantor counts a pledge at once            |
      | the grantor counts a pledge without echo       |
      | the holder counts a grant from its arrival     |
      | the holder keeps expired shares                |
      | the holder pledges to two grantors             |
      | the holder reclaims its floors at once         |

  Scenario: A customer on one instance is not cut to a static share
    Given 9 instances with leases in 4 failure domains
    When customer "c" asks for 300 requests/s on one instance for 30 s
    Then customer "c" was admitted at least 95% and at most 102% of 100 requests/s

  Scenario: Moving demand does not add up to more than the plan
    Given 9 instances with leases in 4 failure domains
    When the demand of customer "c" moves to another instance every 2 s for 60 s
    Then customer "c" was admitted at most 102% of its plan plus one bucket

  Scenario: A rest does not add a bucket for each instance
    Given 9 instances with leases in 4 failure domains
    When customer "c" asks on all instances at once after a rest of 10 s
    Then at most one bucket of customer "c" was admitted beyond its rate

  Scenario: Neither side of a partition exceeds its part and no domain is cut to zero
    Given 12 instances with leases in 4 failure domains
    When customer "c" asks everywhere and one failure domain is cut off for 20 s
    Then the shares of customer "c" never added up to more than its plan
    And every failure domain had at least 95% of its floors after the wait
    And the whole plan is in use again after the partition

  Scenario: A lowered allowance does not wait for every grantor
    Given 9 instances with leases in 4 failure domains
    When customer "c" asks everywhere and its plan is halved
    Then each instance is below the lower plan at once
    And the sum is below the lower plan within one lease

  Scenario: Open flows are neither broken nor opened twice when a share moves
    Given 9 instances with leases in 4 failure domains
    When customer "c" fills its open flows on one instance and then asks on another
    Then no more flows of customer "c" are open than its plan allows
    And the flows of customer "c" that were closed can be opened elsewhere

  Scenario: A permit that is released twice frees one place
    Given 1 instances with leases in 1 failure domains
    When a permit of customer "c" is released twice
    Then customer "c" can use exactly its concurrent requests

  Scenario: A refusal says why and when to ask again
    Given 1 instances with leases in 1 failure domains
    Then customer "c" above its rate is refused for its allowance with a time
    And an unknown customer is refused as unknown

  Scenario: Bytes in flight are limited and freed
    Given 1 instances with leases in 1 failure domains
    Then customer "c" can have 95% of 1000000 bytes in flight and not one above

  Scenario: Demand near its limit does not wait for the next regular report
    Given 9 instances with leases in 4 failure domains
    When customer "c" begins to ask on one instance between two reports
    Then a report of that instance is due within 30 ms

  Scenario: Customers without traffic cost no bytes
    Given 9 instances with leases in 4 failure domains
    Then the reports of idle instances are as long with 1000 customers as with 1

  Scenario: An instance without a view does not take itself for the only one
    Given 1 instances with leases in 1 failure domains
    Then an instance that got plans and no view may use nothing of customer "c"

  Scenario: A restarted instance does not use a floor that its predecessor pledged
    Given 9 instances with leases in 4 failure domains
    When an instance is replaced by a new process
    Then it has only the reserved part of customer "c" until the pledge has ended

  Scenario: The example of the documentation runs
    Then the example in "docs/lease.md" admits 95 to 100 requests/s
