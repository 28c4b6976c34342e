Feature: The end of a request body in chunks

  # Guards against callers who fill the memory with what belongs to no body.
  Scenario Outline: A <part> over the limit on heads is refused
    When a caller sends a <part> of 200 KB without an end
    Then its answer has the status "431"

    Examples:
      | part       |
      | trailer    |
      | chunk size |
