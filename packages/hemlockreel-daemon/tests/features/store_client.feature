Feature: The client of the object API

  Scenario Outline: conditional writes
    Given a store with the object "claims/a" as <before>
    When "claims/a" is written expecting <expected>
    Then the status is <status>
    And the store made <writes> writes

    Examples:
      | before   | expected | status | writes |
      | absent   | nothing  | 201    | 1      |
      | absent   | current  | 412    | 0      |
      | absent   | absent   | 201    | 1      |
      | present  | nothing  | 200    | 2      |
      | present  | current  | 200    | 2      |
      | present  | old      | 412    | 1      |
      | present  | absent   | 412    | 1      |

  Scenario Outline: a write under a fault
    Given a store with the object "claims/a" as absent
    And the fault <fault> of <value>
    When "claims/a" is written expecting absent
    Then the status is <status>
    And the call returned within <seconds> s
    And the store made <writes> writes

    Examples:
      | fault        | value | status | seconds | writes |
      | outage       | true  | 503    | 0.4     | 0      |
      | refuse       | true  | 0      | 0.4     | 0      |
      | silent       | true  | 0      | 0.8     | 0      |
      | lose_answers | 1     | 0      | 0.4     | 1      |
      | delay_s      | 0.1   | 201    | 0.4     | 1      |
      | delay_s      | 0.6   | 0      | 0.8     | 0      |

  Scenario: a call after a timeout uses a new connection
    Given a store with the object "claims/a" as present
    And the fault silent of true
    When "claims/a" is written expecting current
    And the faults are cleared
    And "claims/a" is written expecting current
    Then the status is 200

  Scenario: a rate-limited call returns the time to retry
    Given a store with the object "claims/a" as absent
    And the fault rate_limit of 1
    When the store is read 3 times
    Then the status is 429
    And the retry delay is 1 s

  Scenario Outline: a watch
    Given a store with the object "quotas/a" as present
    And the fault <fault> of <value>
    When "quotas" are watched from <after> while "<change>" changes
    Then the status is <status>
    And the watch returns <events> events
    And the call returned within <seconds> s

    Examples:
      | fault          | value | after | change | status | events | seconds |
      | stale_reads    | 0     | 1     | quotas | 200    | 1      | 0.6     |
      | stale_reads    | 0     | 0     | none   | 200    | 1      | 0.3     |
      | stale_reads    | 0     | 1     | claims | 200    | 0      | 1.4     |
      | freeze_watches | true  | 1     | quotas | 0      | none   | 1.8     |
      | outage         | true  | 1     | none   | 503    | none   | 0.3     |
