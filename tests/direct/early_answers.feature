Feature: An endpoint that answers before it has read a long body

  The endpoint keeps the connection, and reads the body and the next request later.

  # Guards against a 502 for an order that its endpoint was about to read.
  Scenario: An order on a connection with an unread body is answered
    When an order is sent on a connection whose long body has not been read yet
    Then the order is answered on the same connection
