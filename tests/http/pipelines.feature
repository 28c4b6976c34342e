Feature: The begin of a request that arrives together with the one before

  # Guards against a request that is cut off after a part of it was read.
  Scenario: A half head behind a whole request is completed after a drain has begun
    When a drain begins after a request and half of a head that arrived together
    Then its answer has the status "200"

  # Guards against a half head that keeps a connection until the idle timeout.
  Scenario: A half head behind a whole request is refused after the head timeout
    When half of a head arrives together with a request and is not completed
    Then its answer has the status "408"
