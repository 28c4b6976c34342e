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
