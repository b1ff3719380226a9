Feature: Messages between daemons

  Scenario Outline: what a daemon receives
    Given a daemon that receives messages
    When a peer sends <what>
    Then it has accepted <messages> and counted <broken> broken messages

    Examples:
      | what                    | messages | broken |
      | a message               | 1        | 0      |
      | no bytes                | 0        | 1      |
      | random bytes            | 0        | 1      |
      | half a message          | 0        | 1      |
      | an unknown type         | 0        | 1      |
      | a message with a string | 0        | 1      |
