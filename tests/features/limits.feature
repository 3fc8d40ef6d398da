Feature: Allowances are enforced over all instances together

  Scenario: A token bucket admits too much or too little
    Then 300 random uses of a token bucket agree with exact arithmetic

  Scenario: A clock that steps back adds tokens to a bucket
    Then a token bucket that is used at an earlier time stays empty

  Scenario: A fair division exceeds its pool or assigns a fraction of a unit
    Then 500 random fair divisions are within the pool and max-min fair

  Scenario: Lost, late or repeated messages, partitions or pauses lead to use above a plan
    Given leases with the unchanged protocol
    Then 24 runs of leases with random faults stay within the plans

  Scenario Outline: The check of runs with random faults passes a broken protocol: <fault>
    Given leases with the fault "<fault>"
    Then one of 24 runs of leases with random faults exceeds a plan

    Examples:
      | fault                                             |
      | the grantor ignores outstanding shares            |
      | the grantor counts only the latest share          |
      | the grantor counts a new pledge immediately       |
      | the grantor counts a pledge without a recent echo |
      | the holder counts a lease from its arrival        |
      | the holder uses expired shares                    |
      | the holder pledges to two grantors                |
      | the holder reclaims its floors without the wait   |

  Scenario: A customer on one instance is limited to the static share of the instance
    Given 9 instances with leases in 4 failure domains
    When customer "c" sends 300 requests/s to one instance for 30 s
    Then customer "c" was admitted at least 95% and at most 102% of 100 requests/s

  Scenario: Demand that moves between instances adds up to more than the plan
    Given 9 instances with leases in 4 failure domains
    When the demand of customer "c" moves to another instance every 2 s for 60 s
    Then customer "c" was admitted at most 102% of its plan plus one bucket

  Scenario: After a pause each instance admits a full bucket
    Given 9 instances with leases in 4 failure domains
    When customer "c" sends requests to all instances after a pause of 10 s
    Then at most one bucket of customer "c" was admitted beyond its rate

  Scenario: A side of a partition exceeds its part or a failure domain has no allowance
    Given 12 instances with leases in 4 failure domains
    When customer "c" sends requests everywhere and one failure domain is cut off for 20 s
    Then the shares of customer "c" never added up to more than its plan
    And every failure domain had at least 95% of its floors after the wait
    And the whole plan is in use again after the partition

  Scenario: A lowered plan takes effect only after every grantor has received it
    Given 9 instances with leases in 4 failure domains
    When customer "c" sends requests everywhere and its plan is halved
    Then each instance is within the lower plan immediately
    And the sum of the shares is within the lower plan after one lease

  Scenario: A share that moves closes open flows or admits more flows than the plan
    Given 9 instances with leases in 4 failure domains
    When customer "c" uses up its open flows on one instance and then opens flows on another
    Then no more flows of customer "c" are open than its plan allows
    And closed flows of customer "c" can be opened on another instance

  Scenario: A permit that is released twice frees two requests
    Given 1 instances with leases in 1 failure domains
    When a permit of customer "c" is released twice
    Then customer "c" can use exactly its concurrent requests

  Scenario: A refusal has a wrong reason or no usable retry delay
    Given 1 instances with leases in 1 failure domains
    Then customer "c" above its rate is refused as over its allowance with a retry delay
    And an unknown customer is refused as unknown

  Scenario: Bytes in flight exceed their limit or are not freed
    Given 1 instances with leases in 1 failure domains
    Then customer "c" can have 95% of 1000000 bytes in flight but no byte above the limit

  Scenario: Demand near its limit waits for the next regular report
    Given 9 instances with leases in 4 failure domains
    When customer "c" sends its first request to one instance between two reports
    Then a report of that instance is due within 30 ms

  Scenario: Customers without traffic lengthen the lease reports
    Given 9 instances with leases in 4 failure domains
    Then the reports of idle instances are as long with 1000 customers as with 1

  Scenario: An instance without a membership view grants itself whole plans
    Given 1 instances with leases in 1 failure domains
    Then an instance with plans but without a view has no share of customer "c"

  Scenario: A restarted instance uses a floor that its earlier process pledged
    Given 9 instances with leases in 4 failure domains
    When an instance is replaced by a new process
    Then it has only the reserved floor of customer "c" until the pledge has ended

  Scenario: The example in the documentation fails or admits a wrong rate
    Then the example in "docs/lease.md" admits 95 to 100 requests/s
