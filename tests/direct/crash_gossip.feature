Feature: Routers tell each other of crashes directly

  The store tells them too, later: its watches hang here.

  # Guards against a request that goes on crashing endpoints while its first reports are
  # on their way through the store (BUDGET).
  Scenario: A router hears of a crash while the store is silent
    Given two routers whose watches hang
    When the first router reports that a request was lost in 3 crashes
    Then the second router suspects that request within 200 ms

  # Guards against a sound request that is held back longer than need be.
  Scenario: A router hears of a good answer while the store is silent
    Given two routers whose watches hang
    When the first router reports that a request was lost in 3 crashes
    And it has a good answer to that request
    Then the second router suspects no request within 200 ms

  # Guards against reports that reach only some of many routers.
  Scenario: A router passes on what is new and repeated, once
    Given a router that knows 20 other routers
    When it hears of a request's first crash from one of them
    Then it tells nobody of it
    When it hears of that request's second crash from one of them
    Then it tells 12 of them
    When it hears of that request's second crash from one of them
    Then it tells nobody of it

  # Guards against datagrams by the thousand as all endpoints of a service go down.
  Scenario: A router loses many requests at once
    Given a router that knows 20 other routers
    When it loses 500 different requests
    Then it has sent at most 384 datagrams

  # Guards against half a report, which would stand in the way of the whole one.
  Scenario: A report is too long for a datagram
    Given a router that knows 20 other routers
    When it loses a prompt with 32 parts of 64 characters
    Then it tells nobody of it

  Scenario Outline: A datagram of crashes <kind> changes nothing
    Given a router that knows 20 other routers
    When it gets a datagram of crashes <kind> from one of them
    Then it holds no report, and counts the datagram as dropped

    Examples:
      | kind                  |
      | that is no JSON       |
      | that is a list        |
      | with a negative depth |
      | without rows          |
      | nested without end    |

  Scenario: Any report that fits is read as it was written
    When reports of any kind are written to datagrams and read again
    Then they are the same
