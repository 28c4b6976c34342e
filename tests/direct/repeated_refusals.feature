Feature: An endpoint writes an earlier refusal once more on a kept connection

  Each refusal promises that its request was not run. Repeated, it belongs to no request.

  # Guards against "not run" for an order that runs, and against a second run of it.
  Scenario Outline: An order is not refused for another's refusal <with_id> that is repeated
    When an endpoint repeats another order's refusal <with_id> as it runs an order
    Then the order ran once, and its caller gets the answer of that run

    Examples:
      | with_id        |
      | with its id    |
      | without an id  |

  # Guards against "not run" for an order that runs, and against a second run of it.
  Scenario: An order whose own answer does not follow a repeated refusal has an unknown outcome
    When an endpoint repeats another order's refusal without an id and runs an order on end
    Then the order ran once, and its caller is not told that it was not run

  # Guards against "not run" for an order that runs at the second endpoint of an address.
  Scenario: An order is not refused for its own refusal by an endpoint that had the address
    When an endpoint at another's address repeats that one's refusal as it runs the order
    Then the order ran once, and its caller gets the answer of that run

  # Guards against a sound refusal that is taken for another's.
  Scenario: An order that is refused without an id on a new connection is not run
    When an order is refused without an id on a new connection
    Then its caller is told that it was not run
