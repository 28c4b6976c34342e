Feature: A response that breaks off

  # Guards against a broken stream that looks complete to its caller.
  Scenario Outline: A caller of HTTP/<version> can tell that a response broke off
    When a response to a caller of HTTP/<version> breaks off
    Then the caller can tell that it is incomplete

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  # Guards against a stream that a drain cuts and that looks complete.
  Scenario Outline: A caller of HTTP/<version> can tell that a drain cut its response
    When a drain ends while a response to a caller of HTTP/<version> goes on
    Then the caller can tell that it is incomplete

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  # Guards against a whole response that is reset.
  Scenario: A caller of HTTP/1.0 gets a whole response and an orderly close
    When a response to a caller of HTTP/1.0 is complete
    Then the caller gets all of it, and the connection is closed in order
