Feature: Requests from callers to a plain service

  Scenario Outline: a wrong request touches no backend server
    When a caller sends <method> to <path> with the body <body>
    Then the status is <status>
    And the reason is <reason>, which ran as not_run
    And no backend server ran it

    Examples:
      | method | path            | body        | status | reason                   |
      | POST   | /v1/completions | {           | 400    | bad_request              |
      | POST   | /v1/completions | {"model":1} | 400    | bad_request              |
      | GET    | /v1/completions | {}          | 405    | bad_request              |
      | POST   | /nowhere        | {}          | 404    | unknown_route            |
      | POST   | /strict/lots    | {}          | 400    | idempotency_key_required |

  Scenario Outline: a call that may not be repeated meets a fault
    Given the service has the fault <fault> of <value>
    When a caller sends POST to /orders/lots with the body {}
    Then the status is <status>
    And the reason is <reason>, which ran as <ran>
    And it ran <runs> times

    Examples:
      | fault        | value | status | reason         | ran     | runs |
      | reset_before | 9     | 502    | backend_failed | unknown | 0    |
      | reset_after  | 9     | 502    | backend_failed | unknown | 1    |
      | wrong_id     | 9     | 502    | backend_failed | unknown | 1    |
      | silent       | true  | 504    | backend_silent | unknown | 1    |

  Scenario Outline: a call that may be repeated meets a fault once
    Given the service has the fault <fault> of <value>
    When a caller sends GET to /orders/lots with the body nothing
    Then the status is <status>

    Examples:
      | fault        | value | status |
      | reset_before | 1     | 200    |
      | reset_after  | 1     | 200    |
      | wrong_id     | 1     | 200    |
