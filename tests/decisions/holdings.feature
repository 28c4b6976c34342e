Feature: What a process holds of bodies is bounded

  # Guards against a process that runs out of memory while each body is within its limit.
  Scenario: Bodies come, stall, end and are answered in any order
    When any requests reserve, grow, stall, end and are answered
    Then no more than the capacity was ever reserved
    And only incoming bodies had to yield

  Scenario: Large bodies that have stalled yield to another one
    Given a capacity of 8 MB that bodies of 2 MB have filled
    When these have stalled for 2000 ms and a body of 2 MB comes
    Then it is taken, and the body that stalled first has yielded

  Scenario: Large bodies that go on are not disturbed
    Given a capacity of 8 MB that bodies of 2 MB have filled
    When these go on and a body of 2 MB comes
    Then it is refused, and no body has yielded

  Scenario: A small body has room beside large ones
    Given a capacity of 8 MB that bodies of 2 MB have filled
    When these go on and a body of 100 KB comes
    Then it is taken, and no body has yielded

  Scenario: An answer goes before bodies that are still coming in
    Given a capacity of 8 MB that bodies of 2 MB have filled
    When these go on and an answer of 4 MB comes
    Then it is taken, and the largest bodies have yielded
