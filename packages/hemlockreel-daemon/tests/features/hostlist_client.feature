Feature: The client of the host list

  Scenario Outline: a host in the list
    Given a list with a host of role <role> in state <state>
    When the list is read
    Then it has <replicas> replicas, <leaving> of them leaving
    And it has <entries> entries

    Examples:
      | role    | state   | replicas | leaving | entries |
      | prefill | live    | 1        | 0       | 0       |
      | decode  | leaving | 1        | 1       | 0       |
      | plain   | live    | 1        | 0       | 0       |
      | plain   | odd     | 1        | 1       | 0       |
      | entry   | live    | 0        | 0       | 1       |
      | entry   | leaving | 0        | 0       | 0       |
      | unheard | live    | 0        | 0       | 0       |

  Scenario Outline: a read under a fault
    Given a list with a host of role plain in state live
    And the fault <fault> of <value>
    When the list is read
    Then the read <result> within <seconds> s

    Examples:
      | fault   | value | result   | seconds |
      | outage  | true  | fails    | 0.4     |
      | refuse  | true  | fails    | 0.4     |
      | silent  | true  | fails    | 0.8     |
      | delay_s | 0.6   | fails    | 0.8     |
      | delay_s | 0.1   | succeeds | 0.4     |

  Scenario Outline: an outdated list
    Given a list with a host of role plain in state live
    And the fault <fault> of <value>
    When the list is read
    And the host is now leaving
    And the list is read
    Then it has 1 replicas, <leaving> of them leaving

    Examples:
      | fault | value | leaving |
      | lag_s | 0     | 1       |
      | lag_s | 60    | 0       |
      | stale | true  | 0       |
