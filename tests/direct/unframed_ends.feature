Feature: An answer that ends with its connection, and the endpoint that sent it

  It has neither a length nor chunks. An endpoint that crashes closes its connections as
  one that has sent all of its answer does.

  # Guards against a stream that a crash ends between two events and that looks complete.
  Scenario Outline: A resumable stream whose endpoint <crash> between two events is resumed
    When a resumable stream ends after 2 of 3 events as its endpoint <crash>
    Then the caller gets 3 events and a complete stream
    And the second endpoint was asked for what follows event 2

    Examples:
      | crash               |
      | crashes             |
      | dies slowly         |
      | can't be reached    |

  # Guards against a stream that a crash ends between two events and that looks complete.
  Scenario Outline: A stream of one run whose endpoint <crash> between two events is cut
    When a stream of one run ends after 2 of 3 events as its endpoint <crash>
    Then the caller gets 2 events and a cut stream
    And the endpoint counts as failing

    Examples:
      | crash               |
      | crashes             |
      | dies slowly         |
      | can't be reached    |

  # Guards against a whole stream that gets stuck as its endpoint crashes after it.
  Scenario: A resumable stream whose endpoint crashes after its last event is complete
    When a resumable stream ends after 3 of 3 events as its endpoint crashes
    Then the caller gets 3 events and a complete stream

  # Guards against a part of an answer that looks whole.
  Scenario Outline: <kind> whose endpoint crashes after <n_bytes> of 800 bytes
    When <kind> is answered with <n_bytes> of 800 bytes by an endpoint that crashes
    Then its caller gets the status <status> and <n_got> bytes of the endpoint's

    Examples:
      | kind     | n_bytes | status | n_got |
      | a lookup | 400     | 200    | 800   |
      | a lookup | 0       | 200    | 800   |
      | an order | 400     | 502    | 0     |
      | an order | 0       | 502    | 0     |

  # Guards against a part of an error's text that looks whole.
  Scenario: An error whose endpoint crashes in the middle of its text is not passed on
    When an order is answered with a part of an error by an endpoint that crashes
    Then its caller gets the status 502 and 0 bytes of the endpoint's

  # Guards against a sound answer that is taken for a broken one.
  Scenario Outline: <kind> from an endpoint that closes each connection and lives on is whole
    When <kind> is answered by an endpoint that closes each connection and lives on
    Then the caller gets all of the answer
    And one endpoint was asked once, and it counts as good
    And the end of the answer is in the log and the counters

    Examples:
      | kind                |
      | a resumable stream  |
      | a stream of one run |
      | a lookup            |
      | an order            |

  # Guards against a promise that is lost with the text that follows it.
  Scenario: A rejection without a length is taken at its word though its endpoint crashes
    When an order is rejected as not run by an endpoint that crashes
    Then the order is refused as not run

  # Guards against a check that lasts longer than the caller waits.
  Scenario: An order whose endpoint can't be reached after its answer ends in time
    When an order is answered just before its deadline by an endpoint that can't be reached
    Then its caller gets the status 504 before its deadline has long passed

  # Guards against a check of an answer that has no body.
  Scenario Outline: An answer to <request> without a length needs no check
    When the answer to <request> has no body and its endpoint crashes
    Then the caller gets the answer's status <status>

    Examples:
      | request             | status |
      | a HEAD              | 200    |
      | an order, 204       | 204    |
      | an order, 304       | 304    |

  # Guards against a reset that is taken for the end of an answer.
  Scenario Outline: <kind> whose data arrive together with a reset is not complete
    When <kind> gets a part of its answer together with a reset
    Then it is not complete

    Examples:
      | kind                |
      | a stream of one run |
      | an order            |
