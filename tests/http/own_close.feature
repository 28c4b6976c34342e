Feature: Only its server can complete a response that ends with its connection

  # Guards against a cut response that looks complete because this side closed first.
  Scenario: A response without a length is incomplete when its reader closes
    When a client closes a connection in the middle of a response without a length
    Then reading the response fails at the step "body"

  # Guards against a sound response that is taken for a cut one.
  Scenario: A response without a length is complete when its server closes
    When a server closes its connection at the end of a response without a length
    Then the response is read to its end
