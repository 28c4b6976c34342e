Feature: A silent endpoint that answers in time while the others are full

  No byte of the answer has come yet when the router asks another endpoint, which is full.

  # Guards against a refusal of a request although its endpoint was still at work.
  Scenario: A lookup is answered by its slow endpoint when the other one refuses it
    When the endpoint of a lookup answers late while the other one is full
    Then the caller gets the slow endpoint's answer

  # Guards against a refusal because another request could not connect.
  Scenario: A stream begins late at an unreachable endpoint when the other one refuses it
    When the endpoint of a stream, marked unreachable, begins late while the other is full
    Then the caller gets the slow endpoint's answer
