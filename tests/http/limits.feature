Feature: Limits that change while a connection is kept

  A server's limits are replaced while callers hold connections to it. Callers may use the
  new limits at once.

  # Guards against a close while a caller may still send its next request.
  Scenario: A connection that is idle when the idle timeout grows is kept for the new one
    When a request arrives after the old idle timeout and before the new one
    Then its answer has the status "200"

  # Guards against a close that crosses a request which its caller sent in time.
  Scenario: A request that arrives shortly after the idle timeout is answered
    When a request arrives after the idle timeout and within its grace time
    Then its answer has the status "200"

  # Guards against a close while a caller relies on what the last answer said.
  Scenario: A connection is kept for the announced time when the idle timeout shrinks
    When a request arrives within the announced idle time, after a shorter timeout
    Then its answer has the status "200"

  # Guards against callers that can't know when a connection will be closed.
  Scenario: An answer announces how long its connection may stay idle
    When a caller reads an answer of a server with an idle timeout of 15 s
    Then the answer has the header "keep-alive: timeout=15"

  # Guards against a 431 for a head that the limits in force allow.
  Scenario: A head that is within the limit in force is read on a kept connection
    When the head limit grows and a longer head arrives in two parts
    Then its answer has the status "200"
