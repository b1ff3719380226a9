Feature: An operator waits until a change is in force

  Background:
    Given a store that holds the pool lesar with a margin of 300 ms

  Scenario Outline: What the daemons make of a write
    Given daemons that <behave>
    When the operator applies the pool with a margin of 200 ms and waits
    Then the exit code is <code>
    And the operator is told "<message>"
    And the store holds a margin of 200 ms

    Examples:
      | behave                        | code | message                                    |
      | take it into force            | 0    | in force on 5 daemons of 2 regions         |
      | accept it, one is behind      | 6    | highlands has generation 7 on 2 of 3       |
      | accept it, a region is behind | 6    | highlands has generation 6 on 3 of 3       |
      | reject it                     | 6    | is rejected by the daemons, what was in    |
      | accepted what was before      | 6    | not accepted yet: modelpools/lesar         |
      | accept it and report nothing  | 6    | no region has reported                     |
      | do nothing                    | 6    | not accepted yet: modelpools/lesar         |
