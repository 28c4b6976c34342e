Feature: Batch completions are paused and resumed

  Scenario: An answer that was paused reads the same as one that was not
    Given an engine and a batch completion of 40 tokens
    Then text, id, usage and end are the same after any number of pauses

  Scenario Outline: Only batch work that can be resumed is paused
    Given a batch completion with <change>
    Then it can't be paused

    Examples:
      | change                        |
      | priority 0                    |
      | an idempotency key            |
      | no stated length              |
      | two choices                   |
      | tools                         |
      | no stream                     |
      | a body that is still arriving |

  Scenario: A completion near its end, or paused 4 times, is not paused again
    Given an engine and a batch completion of 40 tokens
    Then it can be paused until 8 tokens are left or it was paused 4 times

  # Guards against an error in the middle of an answer, and one that looks complete.
  Scenario Outline: A completion whose next part is <answer> has failed
    When a completion is paused and the engine's next part is <answer>
    Then the answer has the events of the first part alone, and it has failed

    Examples:
      | answer                       |
      | an error                     |
      | a success with an error's text |
      | a success with no body       |
      | a part of an event           |
