Feature: An older word about an endpoint does not undo a newer one

  # Guards against requests to an endpoint that left and that an older read of the store
  # lists as ready.
  Scenario Outline: An endpoint that <leaves> is not used for what an older word says
    Given an endpoint that was listed as ready
    When it <leaves> and <word> lists it as ready
    Then it is not usable

    Examples:
      | leaves              | word                   |
      | is listed draining  | a read that is behind  |
      | is listed draining  | an event that is older |
      | is removed          | a read that is behind  |
      | is removed          | an event that is older |
      | says that it leaves | a read that is behind  |
      | says that it leaves | an event that is newer |
      | is listed draining  | an event that is newer |

  Scenario Outline: An endpoint is usable again after <word>
    Given an endpoint that was listed as ready
    When it is removed and <word> lists it as ready
    Then it is usable

    Examples:
      | word                   |
      | an event that is newer |
      | a newer read           |

  Scenario Outline: An endpoint that <leaves> and starts again under its name is usable
    Given an endpoint that was listed as ready
    When it <leaves> and its later start is listed as ready
    Then it is usable

    Examples:
      | leaves              |
      | is listed draining  |
      | says that it leaves |
      | is removed          |

  # Guards against a live endpoint that is dropped because a read began before its entry.
  Scenario: A read that is behind does not remove an endpoint that joined since
    Given an endpoint that was listed as ready
    When a read that is behind does not list it
    Then it is usable

  # Guards against any order of words that brings an endpoint back that left.
  Scenario: Words about one endpoint come in any order
    When words about one endpoint come late, twice and in any order
    Then it is never usable after it left, and usable if its newest word says so
