Feature: A client that processes a piece slowly loses no data

  Scenario: The rest of a body arrives while the reader processes a piece
    Given a server that sends "one", "two" and the end of the body in turn
    When a client processes "one" until everything has been sent
    Then the client reads "onetwo" and the end of the body without waiting for more bytes
