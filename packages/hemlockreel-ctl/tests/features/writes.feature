Feature: Declared objects are written through the object API

  Background:
    Given a store that holds the pool lesar with a margin of 300 ms

  Scenario Outline: A fault while an object is written
    Given at the write <fault>
    When the operator applies the pool with a margin of 200 ms
    Then the exit code is <code>
    And the operator is told "<message>"
    And the store holds a margin of <margin> ms

    Examples:
      | fault                           | code | message                     | margin |
      | nothing happens                 | 0    | changed at version 2        | 200    |
      | the store has an outage         | 5    | was not written             | 300    |
      | the rate limit is reached       | 5    | try again in 1 s            | 300    |
      | the answer is lost              | 0    | the answer was lost         | 200    |
      | the connection is closed once   | 4    | it still may                | 300    |
      | the store goes silent           | 4    | can't be read back          | 300    |
      | another operator writes 250     | 3    | was changed by someone else | 250    |
      | another operator deletes it     | 3    | it does not exist now       | none   |
      | the answer is lost, then 250    | 4    | with another value          | 250    |

  Scenario Outline: A fault while the version is read
    Given at the read <fault>
    When the operator applies the pool with a margin of 200 ms
    Then the exit code is <code>
    And the operator is told "<message>"
    And the store holds a margin of <margin> ms

    Examples:
      | fault                         | code | message        | margin |
      | the store has an outage       | 5    | can't be read  | 300    |
      | the connection is closed once | 0    | changed        | 200    |

  Scenario: A stale read does not overwrite a newer object
    Given a second write with a margin of 260 ms
    And reads that are one revision behind
    When the operator applies the pool with a margin of 200 ms
    Then the exit code is 3
    And the store holds a margin of 260 ms

  Scenario Outline: The operator names the version
    When the operator applies the pool with a margin of 200 ms over version <version>
    Then the exit code is <code>
    And the store holds a margin of <margin> ms

    Examples:
      | version | code | margin |
      | 1       | 0    | 200    |
      | 0       | 3    | 300    |
      | 7       | 3    | 300    |

  Scenario: The same object again is not written
    When the operator applies the pool with a margin of 300 ms
    Then the exit code is 0
    And the operator is told "unchanged at version 1"

  Scenario: A dry run shows the change and writes nothing
    When the operator tries the pool with a margin of 200 ms
    Then the exit code is 0
    And the operator is told "would be changed"
    And the operator is told "+  "margin_ms": 200,"
    And the store holds a margin of 300 ms

  Scenario Outline: Wrong objects are named and nothing is written
    When the operator applies the file <file>
    Then the exit code is 1
    And the operator is told "<message>"
    And the store is at revision 1

    Examples:
      | file                                                                                                | message                            |
      | {"kind": "modelpools"                                                                               | is no JSON                         |
      | []                                                                                                  | holds no object                    |
      | {"kind": "modelpools", "name": "b"}                                                                 | missing required field `value`     |
      | {"kind": "pools", "name": "b", "value": {}}                                                         | unknown kind 'pools'               |
      | {"kind": "quotas", "name": "a/b", "value": {}}                                                      | the name 'a/b'                     |
      | {"kind": "quotas", "name": "b", "value": {"weight": "x"}}                                           | Expected `float`, got `str`        |
      | {"kind": "quotas", "name": "b", "value": {"wieght": 1}}                                             | unknown field `wieght`             |
      | [{"kind": "quotas", "name": "b", "value": {}}, {"kind": "quotas", "name": "b", "value": {}}]        | is there twice                     |
      | {"kind": "rollouts", "name": "b", "value": {"pool": "c", "version": "2"}}                           | modelpools/c does not exist       |
      | {"kind": "modelpools", "name": "b", "value": {"service": "b", "model": "lesar-7b"}}                 | has the model 'lesar-7b' already   |
      | {"kind": "routes", "name": "b", "value": {"service": "lesar", "prefix": "/services/b"}}             | uses the service 'lesar'           |
      | {"kind": "quotas", "name": "b", "value": {"weight": 0}}                                             | Expected more than 0               |
      | {"kind": "routes", "name": "b", "value": {"service": "b", "prefix": "services/b"}}                  | a path that begins with /          |

  Scenario: A list is written in the order of its references
    When the operator applies the file [{"kind": "rollouts", "name": "r", "value": {"pool": "b", "version": "2"}}, {"kind": "modelpools", "name": "b", "value": {"service": "b", "model": "b-7b"}}]
    Then the exit code is 0
    And the operator is told "modelpools/b created at version 2"
    And the operator is told "rollouts/r created at version 3"

  Scenario: A list that fails on its way tells what was written
    Given at the second write the store has an outage
    When the operator applies the file [{"kind": "quotas", "name": "a", "value": {}}, {"kind": "quotas", "name": "b", "value": {}}, {"kind": "quotas", "name": "c", "value": {}}]
    Then the exit code is 5
    And the operator is told "Written before it: quotas/a. Not tried: quotas/c"

  Scenario Outline: An object is deleted
    Given at the write <fault>
    When the operator runs: delete modelpools lesar
    Then the exit code is <code>
    And the operator is told "<message>"

    Examples:
      | fault                       | code | message               |
      | nothing happens             | 0    | deleted               |
      | the answer is lost          | 0    | the answer was lost   |
      | another operator writes 250 | 3    | was changed           |
      | the store has an outage     | 5    | was not written       |

  Scenario: An object that another one refers to is not deleted
    Given a rollout of the pool lesar
    When the operator runs: delete modelpools lesar
    Then the exit code is 1
    And the operator is told "rollouts/lesar refers to it"
    And the store holds a margin of 300 ms
