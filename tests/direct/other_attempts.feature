Feature: Another endpoint is asked while the first one is silent

  The first endpoint is waited for meanwhile, and whichever answers first is passed on.
  The endpoint of a stream is marked unreachable; otherwise no other endpoint is asked
  before a stream begins.

  # Guards against an attempt that goes on at an endpoint whose answer is not needed.
  Scenario Outline: The second endpoint answers
    When the second endpoint answers a <kind> after the first one sent <opening>
    Then the caller gets the second endpoint's whole answer
    And the other endpoint's connection is closed at once
    And nothing is in flight

    Examples:
      | kind   | opening                |
      | lookup | nothing                |
      | lookup | a part of its answer   |
      | stream | nothing                |
      | stream | the head of its answer |

  # Guards against an answer that waits for the next check of the silent endpoint.
  Scenario: The second endpoint answers between two checks
    When the second endpoint answers a lookup between two checks of the first one
    Then the caller gets the second endpoint's whole answer
    And the caller gets it long before the deadline

  # Guards against a second attempt that outlives the answer of the first one.
  Scenario Outline: The first endpoint answers after all
    When the first endpoint answers a <kind> of which it had sent <opening>
    Then the caller gets the first endpoint's whole answer
    And the other endpoint's connection is closed at once
    And nothing is in flight

    Examples:
      | kind   | opening                |
      | lookup | nothing                |
      | lookup | a part of its answer   |
      | stream | nothing                |
      | stream | the head of its answer |

  # Guards against a second attempt that ends at the first one's bytes, whatever they are.
  Scenario Outline: The first endpoint fails while the second one is at work
    When the first endpoint of a lookup <end> and the second one answers
    Then the caller gets the second endpoint's whole answer
    And nothing is in flight

    Examples:
      | end                   |
      | closes the connection |
      | refuses the request   |
      | answers with an error |

  # Guards against a first attempt that is given up for a second one without an answer.
  Scenario Outline: The second endpoint fails while the first one is at work
    When the second endpoint of a <kind> <end> and the first one answers
    Then the caller gets the first endpoint's whole answer
    And nothing is in flight

    Examples:
      | kind   | end                   |
      | lookup | closes the connection |
      | lookup | refuses the request   |
      | lookup | answers with an error |
      | stream | closes the connection |
      | stream | answers with an error |

  # Guards against an error answer that is lost because the first endpoint is waited for.
  Scenario: The only answer is an error of the second endpoint
    When the second endpoint of a lookup answers with an error and the first one never
    Then the caller gets the second endpoint's error
    And nothing is in flight

  # Guards against an answer that is neither passed on nor released.
  Scenario Outline: Both endpoints answer at the same moment
    When both endpoints of a <kind> answer at once
    Then the caller gets one whole answer
    And nothing is in flight

    Examples:
      | kind   |
      | lookup |
      | stream |

  # Guards against work that goes on for a caller who has left.
  Scenario Outline: The caller leaves while both endpoints are at work
    When the caller of a <kind> leaves while both endpoints are at work
    Then both connections are closed at once
    And nothing is in flight
    And no connection to an endpoint is open

    Examples:
      | kind   |
      | lookup |
      | stream |

  # Guards against an order that is sent to two endpoints.
  Scenario: An order is waited for at its endpoint
    When the endpoint of an order is silent while another one is free
    Then the caller gets the first endpoint's whole answer
    And the second endpoint got nothing

  # Guards against more attempts than the route allows, and retries that are spent twice.
  Scenario: A second attempt costs one retry and counts as an attempt
    When the second of three endpoints refuses a lookup and the first one answers late
    Then the caller gets the first endpoint's whole answer
    And the third endpoint got nothing, and one retry was spent
    And the first endpoint has one bad outcome, and no failure

  # Guards against second attempts beyond the retry budget.
  Scenario: No other endpoint is asked without a retry
    When no retry is left while the endpoint of a lookup is silent
    Then the caller gets the first endpoint's whole answer
    And the second endpoint got nothing

  # Guards against one silence that counts twice against its endpoint.
  Scenario: An endpoint that is silent to the deadline has failed once
    When neither endpoint of a lookup answers
    Then the caller is told 504, deadline
    And the first endpoint has one bad outcome, and one failure
    And nothing is in flight

  # Guards against a crash that goes unseen, or that is blamed on an earlier one.
  Scenario: The first endpoint crashes while the second one is at work
    When the first endpoint of a stream crashes while the second one is at work
    Then the caller is told 502, engine-crashed
    And the other endpoint's connection is closed at once
    And nothing is in flight
    And the first endpoint's crash is held against what was known when it was asked

  # Guards against one silence that counts as a failure every 250 ms.
  Scenario: A silent endpoint has failed once though no other one can be asked
    When a part of a stream is quarantined while its endpoint is silent
    Then the caller is told 504, deadline
    And the first endpoint has one bad outcome, and one failure
    And nothing is in flight

  # Guards against events that the caller gets twice.
  Scenario: A stream that goes on is not continued by the other endpoint as well
    When a silent stream goes on and another endpoint answers it too late
    Then the caller gets each event once
    And the other endpoint's connection is closed at once
