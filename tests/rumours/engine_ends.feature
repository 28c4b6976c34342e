Feature: An engine's answer that ends with its connection, at the agent beside it

  # Guards against a part of an answer that looks whole as its engine has crashed.
  Scenario Outline: <kind> whose engine crashes in the middle of it has failed
    When the engine of <kind> sends a part of it without a length and crashes
    Then the answer has failed as its engine crashed

    Examples:
      | kind                   |
      | an answer              |
      | a completion by events |

  # Guards against a sound answer that is taken for a broken one.
  Scenario Outline: <kind> whose engine closes each connection and lives on is complete
    When the engine of <kind> sends it without a length and lives on
    Then the answer is complete

    Examples:
      | kind                   |
      | an answer              |
      | a completion by events |
