Feature: Routers share a rate that an endpoint names, with nobody who counts

  # Guards against an endpoint that gets the named rate from each of many routers.
  Scenario Outline: <n> routers with <demand> share <rate> requests a second
    When <n> routers share a rate of <rate> a second for two minutes under <demand>
    Then in no 4 s the endpoint gets more than one and a half times that, and 5 more

    Examples:
      | n   | rate | demand                     |
      | 1   | 4.9  | steady demand              |
      | 8   | 0.0  | steady demand              |
      | 8   | 0.2  | steady demand              |
      | 8   | 1.9  | steady demand              |
      | 8   | 4.9  | steady demand              |
      | 8   | 4.9  | demand that comes in waves |
      | 46  | 0.0  | demand that comes in waves |
      | 46  | 0.2  | steady demand              |
      | 46  | 4.9  | steady demand              |
      | 46  | 4.9  | demand that comes in waves |
      | 46  | 60.0 | demand that comes in waves |
      | 600 | 0.0  | demand that comes in waves |
      | 600 | 4.9  | steady demand              |
      | 600 | 4.9  | demand that comes in waves |
      | 600 | 30.0 | demand that comes in waves |

  # Guards against a share that leaves most of what the endpoint takes unused.
  Scenario Outline: <n> routers use a rate of <rate> under steady demand
    When <n> routers share a rate of <rate> a second for two minutes under steady demand
    Then the endpoint gets at least nine tenths of it

    Examples:
      | n   | rate |
      | 1   | 4.9  |
      | 8   | 1.9  |
      | 8   | 4.9  |
      | 46  | 4.9  |
      | 46  | 60.0 |
      | 600 | 30.0 |

  # Guards against too much while routers count each other differently.
  Scenario: Half of eight routers know only six
    When eight routers, half of which know only six, share a rate of 4.9 a second
    Then in no 4 s the endpoint gets more than one and a half times that, and 5 more

  Scenario: A router's role changes as the rate does
    When the rate of an endpoint before 46 routers rises from 1 to 40 and falls again
    Then in no 4 s the endpoint gets more than one and a half times that, and 5 more

  Scenario: A router hears that a limit has ended
    When a router that is no sender is allowed one request
    Then it may send one at once, and no second one
