Feature: Repeats stay within the fleet's budget, with nobody who counts

  No scenario here opens a connection. A request that fails is repeated once if its
  router's budget allows it.

  # Guards against routers that each get a full share of the budget at each start, and
  # divide it by fewer routers than there are.
  Scenario Outline: <n> routers, <rate> requests a second, killed <kills>, listed <listed>
    Given <n> routers that hear of each other <listed>
    When <rate> requests a second fail while routers are killed <kills>
    Then in no ten seconds there are more repeats than allowed

    Examples: Nobody is killed
      | n   | rate | kills | listed        |
      | 1   | 60   | never | after 1000 ms |
      | 8   | 60   | never | after 1000 ms |
      | 46  | 300  | never | after 1000 ms |
      | 46  | 300  | never | never         |
      | 600 | 6000 | never | after 1000 ms |
      | 600 | 1200 | never | after 3000 ms |
      | 600 | 1200 | never | never         |

    Examples: Few requests at many routers
      | n   | rate | kills              | listed        |
      | 46  | 15   | never              | after 1000 ms |
      | 600 | 30   | never              | after 1000 ms |
      | 600 | 30   | never              | never         |
      | 600 | 30   | all every 2000 ms  | after 1000 ms |

    Examples: All are killed
      | n   | rate | kills              | listed        |
      | 4   | 60   | all every 2000 ms  | after 500 ms  |
      | 8   | 60   | all every 2000 ms  | after 500 ms  |
      | 8   | 120  | all every 12000 ms | after 500 ms  |
      | 46  | 300  | all every 2000 ms  | after 500 ms  |
      | 46  | 300  | all every 2000 ms  | never         |
      | 46  | 300  | all every 11000 ms | after 500 ms  |
      | 600 | 1200 | all every 2000 ms  | after 500 ms  |
      | 600 | 1200 | all every 5000 ms  | never         |

    Examples: One is killed after the other
      | n   | rate | kills             | listed       |
      | 4   | 60   | one every 500 ms  | after 500 ms |
      | 8   | 60   | one every 250 ms  | after 500 ms |
      | 46  | 300  | one every 50 ms   | after 500 ms |
      | 600 | 1200 | one every 20 ms   | after 500 ms |

  # Guards against a bound that holds for steady traffic and regular kills alone.
  Scenario Outline: <n> routers under any traffic and any kills
    Then whatever is sent, fails and is killed, <n> routers keep to the budget

    Examples:
      | n  |
      | 4  |
      | 8  |
      | 46 |

  # Guards against a reserve that is kept idle for starts that don't come.
  Scenario Outline: All requests at <n> routers fail after a calm minute
    Given <n> routers that hear of each other after 1000 ms
    When <rate> requests a second succeed for a minute and then fail for ten seconds
    Then in no ten seconds there are more repeats than allowed
    And in the ten seconds at least nine tenths of what is allowed are sent

    Examples:
      | n  | rate |
      | 4  | 60   |
      | 8  | 60   |
      | 46 | 300  |

  # Guards against routers that never have a whole retry for a service with few requests.
  Scenario Outline: The requests of a service with few of them fail at <n> routers
    Given <n> routers that hear of each other after 1000 ms
    When <rate> requests a second succeed for a minute and then fail for ten seconds
    Then the first failed request of each router is repeated

    Examples:
      | n  | rate |
      | 1  | 1    |
      | 8  | 2    |
      | 46 | 5    |
      | 80 | 20   |

  Scenario: The requests of a service with few of them fail at more routers than retries
    Given 600 routers that hear of each other after 1000 ms
    When 30 requests a second succeed for a minute and then fail for ten seconds
    Then in no ten seconds there are more repeats than allowed
    And at least 10 in 100 of the failed requests are repeated
