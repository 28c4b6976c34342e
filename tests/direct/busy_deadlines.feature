Feature: The deadline of a request on a router that is busy

  # Guards against an answer that comes long after the deadline because the router was busy.
  Scenario: A router that is busy at a deadline answers as soon as it is free
    When an endpoint does not answer and the router is busy at the deadline
    Then the request is answered as soon as the router is free
