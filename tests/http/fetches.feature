Feature: A fetch whose timeout expires while the event loop is busy

  # Guards against an answer that is dropped because this process was busy.
  Scenario: An answer that arrived while the loop was busy past the timeout is returned
    When the answer to a fetch arrives while the loop is busy past its timeout
    Then the fetch returns the answer

  # Guards against a response with an empty body that is made of a part of a head.
  Scenario Outline: A fetch whose server sends <part> and closes fails
    When the server of a fetch sends <part> and closes
    Then the fetch fails at the step "head"

    Examples:
      | part                    |
      | nothing                 |
      | a part of a status line |
      | a status line           |
      | all headers             |
