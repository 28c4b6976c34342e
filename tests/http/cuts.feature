Feature: A response that breaks off

  # Guards against a broken stream that looks complete to its caller.
  Scenario Outline: A caller of HTTP/<version> can tell that a response broke off
    When a response to a caller of HTTP/<version> breaks off
    Then the caller can tell that it is incomplete

    Examples:
      | version |
      | 1.0     |
      | 1.1     |
