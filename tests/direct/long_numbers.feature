Feature: Numbers of an endpoint that are too long to be read

  # Guards against an endpoint's number that fails its request, or all later ones.
  Scenario Outline: An answer whose <where> is a number of <digits> digits
    When an endpoint's answer has a number of <digits> digits as its <where>
    Then the caller gets the whole answer
    And the next request is answered too

    Examples:
      | where          | digits |
      | reported load  | 400    |
      | reported load  | 5000   |
      | idle timeout   | 400    |
      | idle timeout   | 5000   |

  # Guards against a stream that can't be resumed after its last event.
  Scenario: A stream is resumed before an event whose id is too long
    When a stream's second event has an id of 5000 digits at its first endpoint
    Then the caller gets every event once from two endpoints
    And the endpoint whose id was too long counts as failing
