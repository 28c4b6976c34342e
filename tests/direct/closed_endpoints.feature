Feature: An endpoint that asks for a pause gets no request until it is over

  # Guards against requests to an endpoint that has rejected one with 503 and Retry-After.
  Scenario Outline: An endpoint rejects a request with Retry-After <value>
    Given an endpoint that rejects a request <how> with Retry-After <value>, and a sound one
    When requests are sent for a second
    Then all are answered, and none reaches the first endpoint

    Examples:
      | how                  | value     |
      | as not run           | 2         |
      | as not run           | 1.5       |
      | without saying more  | 2         |
      | as not run           | 31536000  |
      | as not run           | 999999999999999999999 |

  Scenario Outline: Retry-After <value> asks for no pause
    Given an endpoint that rejects a request as not run with Retry-After <value>, and a sound one
    When requests are sent for a second
    Then all are answered, and some by the first endpoint

    Examples:
      | value                         |
      | 0                             |
      | -3                            |
      | 1e999                         |
      | nan                           |
      | soon                          |
      | Wed, 21 Oct 2099 07:28:00 GMT |

  Scenario: The pause is over
    Given an endpoint that rejects a request as not run with Retry-After 0.4, and a sound one
    When requests are sent for a second
    Then all are answered, and some by the first endpoint

  # Guards against a shorter pause, asked for later, that ends a longer one.
  Scenario: A second rejection asks for a shorter pause
    When an endpoint asks for 2 s and then for 0.1 s
    Then it is closed for more than a second

  # Guards against callers that wait for their deadline, or come back too early, while
  # all endpoints have asked for a pause.
  Scenario: All endpoints ask for a pause
    Given two endpoints that both ask for a pause of 3 s
    When one more request is sent to them
    Then it is refused at once with a Retry-After between 2 and 3 s

  # Guards against a pause that is forgotten as the endpoint's entry lapses.
  Scenario: An endpoint that asked for a pause is missing from the list for a moment
    When an endpoint asks for a pause, is removed from the list and listed again
    Then it is closed for more than a second
