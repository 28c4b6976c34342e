Feature: Data centres that operators evacuate, and endpoints that are cold

  No scenario here opens a connection.

  Scenario: A data centre is evacuated and taken back
    Given endpoints in the data centres north and south
    When north is evacuated
    Then only endpoints in south take work
    And an endpoint in north that was chosen before takes none
    When north is taken back
    Then endpoints in north and south take work
    And endpoints in north are cold for 3000 ms

  Scenario: A read of the store ends an evacuation whose end was missed
    Given endpoints in the data centres north and south
    When north is evacuated
    And the store is read without any evacuation
    Then endpoints in north and south take work

  # A router that starts in the middle hears of the evacuation with all else.
  Scenario: The evacuation is read before its endpoints
    When north is evacuated
    And endpoints in north and south are listed
    Then only endpoints in south take work

  Scenario Outline: An operator evacuates <name>
    Given endpoints in the data centres north and south
    When <name> is evacuated
    Then endpoints in north and south take work

    Examples:
      | name    |
      | nowhere |
      | NORTH   |

  Scenario: An endpoint that leaves stays away as its data centre is taken back
    Given endpoints in the data centres north and south
    When the endpoint in north leaves
    And north is evacuated
    And north is taken back
    Then only endpoints in south take work

  Scenario Outline: A key of an evacuation holds the value <value>
    Then the key op/evacuate/north with the value <value> evacuates north

    Examples:
      | value   |
      | {}      |
      | not json |

  # Guards against cold endpoints that crash under what many routers send them at once.
  Scenario Outline: <n> routers send all that they may to a cold endpoint
    When <n> routers, of which <n_new> start in the middle, know <known> in 100 others
    Then no second brings it more than 20 requests

    Examples:
      | n   | n_new | known |
      | 4   | 0     | 100   |
      | 46  | 0     | 100   |
      | 46  | 2     | 95    |
      | 600 | 0     | 100   |
      | 600 | 2     | 99    |

  Scenario: An entry says that its endpoint is cold, and later that it is not
    Given endpoints in the data centres north and south
    When the entry of the endpoint in north says that it is cold for 2000 ms
    Then the endpoint in north is cold
    When the entry of the endpoint in north says that it is cold for 0 ms
    Then no endpoint is cold

  # Guards against endpoints that hold more than the bound while others stand empty.
  Scenario: The endpoints that are left take over the load of a data centre
    Given endpoints in the data centres north and south
    And a load of 12 requests at the endpoint in south
    When north is evacuated
    Then the bound on loads is half of what it was

  Scenario: A route is kept to its regions
    Given endpoints in the data centres north and south
    Then a job for the region up may go to north alone
    And a job for the region up of a team kept to down may go nowhere
