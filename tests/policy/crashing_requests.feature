Feature: A whole request is held against the crashes that it was lost in

  No scenario here opens a connection. Reports name a request alone, as it was lost
  before the head of its answer. Each router holds its own evidence; a report or a
  clearance reaches the other routers after 500 ms. Time is simulated.

  # Guards against a request that goes on to crash endpoints, though each of its losses
  # is weak evidence.
  Scenario Outline: One request crashes each endpoint that begins to run it
    Given 8 routers with evidence of their own
    When one request comes in bursts of <n>, <gap> ms apart, one every <every> ms
    Then at most 3 of its arrivals come later than 3000 ms after the third crash
    And at most 12 of its arrivals crash endpoints

    Examples:
      | n | gap | every |
      | 1 | 0   | 4000  |
      | 1 | 0   | 1000  |
      | 1 | 0   | 300   |
      | 1 | 0   | 100   |
      | 2 | 50  | 4000  |
      | 3 | 100 | 4000  |
      | 3 | 300 | 5000  |

  # Guards against a sound request refused as its repeat met another crash.
  Scenario: A request is lost in one crash after the other
    Given 1 router with evidence of its own
    When one request is lost in 2 crashes, one after the other
    Then that request may be sent
    When one request is lost in 1 crash more
    Then that request is quarantined

  # Guards against a request that is held to be sound by an answer to another one.
  Scenario: A request has a good answer between crashes
    Given 1 router with evidence of its own
    When one request is lost in 2 crashes, one after the other
    And it has a good answer
    And one request is lost in 2 crashes, one after the other
    Then that request may be sent

  # Guards against a popular request refused as all endpoints of a service went down.
  Scenario: A request is in flight at many endpoints that crash at once
    Given 1 router with evidence of its own
    When one request is lost in 9 crashes at once
    Then that request may be sent

  # Guards against crashes with many requests in flight that release a deadly part.
  Scenario: Many requests are lost while a part is quarantined
    Given 1 router with evidence of its own
    And a part that is quarantined
    When 10000 different requests are lost, each in a crash of its own
    Then that part is still quarantined
    And at most 256 reports that name a request alone are held

  # Guards against a deadly request released by what is lost beside it.
  Scenario: Many requests are lost while a request is quarantined
    Given 1 router with evidence of its own
    When one request is lost in 3 crashes, one after the other
    And 10000 different requests are lost, each in a crash of its own
    Then that request is quarantined

  # Guards against sound requests refused as endpoints crash often.
  Scenario: An endpoint of 12 crashes every second under sound requests
    Given 15 routers with evidence of their own
    When requests of a second each come for 60 s, popular and different ones
    Then none of them is refused
