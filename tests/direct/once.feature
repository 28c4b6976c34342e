Feature: An order runs at most once, and what its caller hears of it is true

  Callers send orders and lookups to a router and some of them hang up. Endpoints treat
  each request in a manner drawn with a seed: they answer, are full, fail, cut answers,
  lose them, answer late, answer twice, or take over another's address.

  Scenario Outline: Nothing false is found over many requests
    When 600 requests are played with seed <seed>
    Then every caller's answer agrees with what the endpoints ran
    And every manner was met, and callers got answers of every kind
    And no endpoint counts a request in flight

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A fault planted in the router is found
    Given the fault "<fault>" in the router
    When 600 requests are played with seed 1
    Then an answer disagrees with what the endpoints ran: "<finding>"

    Examples:
      | fault                   | finding            |
      | orders are sent again   | ran more than once |
      | every refusal says 503  | said not to have run |
      | another's answer passed | another's answer   |
      | cut answers passed      | a cut answer       |
      | attempts unbounded      | too many endpoints |
