Feature: Objects and status are read through the object API

  Background:
    Given a store that holds the pool lesar with a margin of 300 ms

  Scenario Outline: Objects are read
    When the operator runs: <command>
    Then the exit code is <code>
    And the operator is told "<message>"

    Examples:
      | command                            | code | message                    |
      | get modelpools                     | 0    | lesar  1        margin_ms  |
      | get modelpools lesar               | 0    | margin_ms  300             |
      | get modelpools lesar --output json | 0    | "version": 1               |
      | get modelpools --output json       | 0    | "name": "lesar"            |
      | get modelpools other               | 1    | other does not exist       |
      | delete modelpools other            | 1    | other does not exist       |
      | status                             | 0    | no status has been written |

  Scenario: A store that can't be reached is named
    When the operator reads from a store that nobody serves
    Then the exit code is 5
    And the operator is told "no connection to http://127.0.0.1:"

  Scenario Outline: A watch prints each change once
    Given at the watch <fault>
    When the operator runs: watch modelpools --for 0.3 --output json
    Then the exit code is 0
    And the margins that were seen are <margins>

    Examples:
      | fault                                      | margins    |
      | nothing happens                            | 300        |
      | another operator writes 250                | 300 250    |
      | another operator writes 250 unseen         | 300 250    |
      | another operator deletes it                | 300 gone   |
      | another operator deletes it unseen         | 300 gone   |
      | the connection is closed once and 250 came | 300 250    |
