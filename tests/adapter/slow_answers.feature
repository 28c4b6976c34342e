Feature: Answers of the store that take long, as they are large and the link is narrow

  The store's answers are limited to a second without bytes, not to a second in all.

  # Guards against a router that can never read a configuration that takes over a second.
  Scenario Outline: A <call> is read whole
    When the store takes 1600 ms to send the answer to a <call>, in pieces
    Then the call returns what the store holds

    Examples:
      | call  |
      | range |
      | watch |

  # Guards against a read that waits for a connection that has gone silent.
  Scenario Outline: A <call> whose answer stops midway is given up
    When the store sends a part of the answer to a <call>, and then nothing
    Then the call fails within 1800 ms

    Examples:
      | call  |
      | range |
      | watch |

  # Guards against an answer that never ends.
  Scenario: An answer that goes on for ever is given up
    When the store sends the answer to a range for ever, and 400 ms are the limit
    Then the call fails within 1800 ms
