Feature: A fetch whose timeout expires while the event loop is busy

  # Guards against an answer that is dropped because this process was busy.
  Scenario: An answer that arrived while the loop was busy past the timeout is returned
    When the answer to a fetch arrives while the loop is busy past its timeout
    Then the fetch returns the answer
