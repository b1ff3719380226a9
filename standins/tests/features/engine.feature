Feature: The protocol of the model engine
  A caller of an engine receives a complete response or an error.

  Background:
    Given a prefill engine and a decode engine

  Scenario: A prefill is decoded elsewhere
    When request r1 is prefilled and decoded for 12 tokens
    Then the response is complete
    And the decode engine holds nothing

  Scenario Outline: A stream with a fault
    Given the decode fault <fault> is <value>
    When request r1 is prefilled and decoded for 12 tokens
    Then <seen>
    And request r1 is complete once it is resumed

    Examples:
      | fault            | value | seen                                  |
      | cut_after_tokens | 1     | 1 token was seen                      |
      | cut_after_tokens | 5     | 5 tokens were seen                    |
      | cut_after_tokens | 11    | 11 tokens were seen                   |
      | wrong_id         | true  | a line of another request was seen    |
      | repeat_answer    | true  | a line was seen twice                 |

  Scenario Outline: A decode that does not start
    When request r1 is prefilled
    And <mishap>
    Then the decode of r1 responds with <status> and <error>
    And the decode engine has started no decode

    Examples:
      | mishap                               | status | error           |
      | the result is left until it is gone  | 409    | evicted         |
      | the memory is taken by others        | 507    | memory_full     |
      | r1 is resumed at an empty engine     | 404    | unknown_request |

  Scenario Outline: A cancel
    Given the decode fault <fault> is <value>
    When request r1 is prefilled and starts to decode 5000 tokens
    And r1 is cancelled at the decode engine
    Then the cancel responds with <answer>
    And the decode engine holds <pieces> KV blocks

    Examples:
      | fault        | value | answer     | pieces |
      | delay_s      | 0.01  | held false | 0      |
      | lose_answers | 1     | nothing    | 0      |
      | drop_cancels | true  | held true  | 2      |

  Scenario Outline: An order
    Given an engine that <checks> fencing numbers
    When an order with fence 7 and then one with fence <fence> is given
    Then the second order responds with <status>

    Examples:
      | checks  | fence | status |
      | checks  | 8     | 200    |
      | checks  | 7     | 200    |
      | checks  | 6     | 409    |
      | ignores | 6     | 200    |

  Scenario: An order that expects another state
    When an order expects the role plain
    Then the order responds with 412 and changes nothing

  Scenario: An order whose response is lost
    Given the decode fault lose_answers is 1
    When an order changes the role to prefill
    Then the order has taken effect once
