Feature: An endpoint that reads a long body late

  The body is larger than the buffers between the router and the endpoint. The endpoint
  leaves it unread for a while, though its host acknowledges what has arrived.

  # Guards against a 502 for an order that its endpoint was about to read.
  Scenario: An order whose long body is read late is answered
    When an endpoint reads the long body of an order late and answers it
    Then the caller gets the endpoint's whole answer

  # Guards against an answer that is cut although its endpoint was still at work.
  Scenario: A stream whose long request body is read late is not cut
    When an endpoint reads the long body of a stream's request while it streams
    Then the caller gets the endpoint's whole answer
