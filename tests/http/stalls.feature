Feature: A timeout that expires while the event loop is busy

  The loop is blocked for a stated time, as it is while a large configuration is decoded.
  Bytes that have arrived by the end of that time are not late: their timeout expired only
  because nobody could read them.

  # Guards against a connection that is closed with a whole request unanswered.
  Scenario: A request that arrived while the loop was busy past the idle timeout is answered
    When a request arrives while the loop is busy past the idle timeout
    Then its answer has the status "200"

  # Guards against a close by a task that resumes after the loop was busy once more.
  Scenario: A request that arrived between the idle timeout and the close is answered
    When a request arrives while the loop is busy after the idle timeout
    Then its answer has the status "200"

  # Guards against a 408 for a head that is there.
  Scenario: A head that arrived while the loop was busy past the head timeout is read
    When the rest of a head arrives while the loop is busy past the head timeout
    Then its answer has the status "200"

  # Guards against a 408 for a body that is there.
  Scenario: A body that arrived while the loop was busy past the body timeout is read
    When the rest of a body arrives while the loop is busy past the body timeout
    Then its answer has the status "200"

  # Guards against a 408 by a task that does not look at the socket once more.
  Scenario Outline: The rest of a <part> that arrived as its timeout expired is read
    When the rest of a <part> arrives after its last timeout, while the loop is busy
    Then its answer has the status "200"

    Examples:
      | part |
      | head |
      | body |

  # Guards against an endpoint that counts as unreachable because this process was busy.
  Scenario: A connection that was made while the loop was busy is used
    When a connection is made while the loop is busy past the connect timeout
    Then the connection is open

  # Guards against a head that may take for ever, as each byte counts as in time.
  Scenario: A head that arrives byte by byte past its timeout is refused
    When a caller sends a byte of a head in each turn of the loop
    Then its answer has the status "408"
