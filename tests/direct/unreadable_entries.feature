Feature: An endpoint's entry that can't be read for a while ends no work

  # Guards against answers that are cut, or requests that fail, as another writer has
  # written over the entry of their endpoint.
  Scenario Outline: Another writer's entry replaces that of the only endpoint of a <kind>
    When the entry of the endpoint lacks fields for a second amid a <kind>
    Then the caller gets its whole answer, from one run
    And a request that comes meanwhile is refused as not run
    And one that comes afterwards is answered

    Examples:
      | kind   |
      | stream |
      | order  |
