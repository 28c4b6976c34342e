Feature: An order runs at most once, and its caller gets a true answer

  Callers send orders and lookups to a router, and some of them hang up. Each endpoint
  handles a request in a way drawn with a seed: it answers, is full, fails, truncates or
  loses its answer, answers late or twice, or took over another endpoint's address.

  Scenario Outline: Answers agree with what ran over many requests
    When 600 requests are sent with seed <seed>
    Then every caller's answer agrees with what the endpoints ran
    And every endpoint behavior occurred, and callers got answers of every kind
    And no endpoint counts a request in flight

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A fault injected into the router is found
    Given the fault "<fault>" in the router
    When 600 requests are sent with seed 1
    Then an answer contradicts what the endpoints ran: "<finding>"

    Examples:
      | fault                    | finding                   |
      | orders are retried       | ran more than once        |
      | every refusal says 503   | reported as not run       |
      | wrong answers passed     | answer to another request |
      | truncated answers passed | truncated answer          |
      | unlimited attempts       | too many endpoints        |
