Feature: A shutdown cuts no request in flight

  Scenario Outline: requests in flight complete after a stop signal
    Given a fleet whose orders and answers take a second
    When orders and streams are in flight and <processes> get a stop signal
    Then every order and stream is complete
    And the stopped processes exit with 0 and cut no request

    Examples:
      | processes             |
      | one agent             |
      | one router            |
      | one agent, one router |

  Scenario: a draining endpoint gets no new work
    Given a fleet whose orders and answers take a second
    When an agent drains while callers send more requests
    Then the draining agent's endpoint executed no new request
    And every order and stream is complete

  Scenario: a second stop signal ends the wait
    Given a fleet whose orders and answers take a second
    When orders and streams are in flight and one agent gets two stop signals
    Then the stopped processes exit with 0 and log how many requests they cut

  Scenario: the drain timeout ends the wait
    Given a fleet with a drain timeout of 200 ms
    When orders and streams are in flight and one agent get a stop signal
    Then the stopped processes exit with 0 and log how many requests they cut
