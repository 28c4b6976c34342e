Feature: Load of the busiest engine relative to its bound

  Scenario Outline: The bound is the load multiple times the mean plus the largest request
    Given engines with loads <loads> whose largest requests are <largest>
    Then the highest load over the bound at multiple 1.5 is <worst>

    Examples:
      | loads       | largest   | worst |
      | 100 100 100 | 10 10 10  | 0.625 |
      | 300 0 0     | 150 0 0   | 1.0   |
      | 300 0 0     | 10 0 0    | 1.875 |
      | 50 0 0      | 50 0 0    | 0.667 |
      | 0 0 0       | 0 0 0     | 0     |

  Scenario: The engine furthest over its bound may differ from the busiest
    Given engines with loads 300 280 0 whose largest requests are 300 5 0
    Then the highest load over the bound at multiple 1.5 is 0.949

  Scenario: A sampler records reachable engines and omits unreachable ones
    Given a server that reports load 70 and largest request 30
    When a sampler reads that server and an address without a listener
    Then the sample contains only that engine with load 70 and largest request 30
