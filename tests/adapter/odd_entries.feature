Feature: Odd entries in the store change nothing but themselves

  # Guards against one entry that ends the reading of all others, each time anew.
  Scenario Outline: An endpoint's entry with <fault> names no endpoint, and the others hold
    When the store has an endpoint's entry with <fault> beside a sound one
    Then the sound one is read and the odd one is removed

    Examples:
      | fault                            |
      | slots of 1e999                   |
      | a start of 1e999                 |
      | a start of -1e999                |
      | slots that are not a number      |
      | slots of 10^400                  |
      | slots below 0                    |
      | slots of a million million       |
      | a start after the year 5000      |
      | the port 70000                   |
      | the port 0                       |
      | the port -1                      |
      | a port of 5,000 digits           |
      | a port in digits of another script |
      | a line break in the address      |
      | a host that is a name            |
      | a host that is no address        |
      | deep nesting                     |
      | a service that is a list         |
      | an address that is an object     |
      | bytes that are not text          |
      | a key with a line break          |
      | a key with a space               |
      | a key in another script          |

  # Guards against requests that an endpoint of another service runs, as another writer
  # has left out what an endpoint tells of itself.
  Scenario Outline: An endpoint's entry without <field>, or with another type, names none
    When the store has an endpoint's entry without <field> beside a sound one
    Then the sound one is read and the odd one is removed
    And a log line names <field>
    When the store has an endpoint's entry whose <field> is a list beside a sound one
    Then the sound one is read and the odd one is removed
    And a log line names <field>

    Examples:
      | field      |
      | service    |
      | address    |
      | zone       |
      | version    |
      | slots      |
      | state      |
      | coldLeftMs |
      | seq        |

  # Guards against sound endpoints that aren't used as they leave out what they may.
  Scenario: An endpoint's entry without its start is read
    When the store has an endpoint's entry without born beside a sound one
    Then both are read

  # Guards against a router's entry that ends the word of this router to its peers.
  Scenario Outline: A router's entry with <fault> names no router, and the others hold
    When the store has a router's entry with <fault> beside a sound one
    Then the sound one is read and the odd one is removed

    Examples:
      | fault                   |
      | the port 99999          |
      | no port                 |
      | a host that is a name   |
      | bytes that are not text |

  Scenario: A router without a port for datagrams counts as a router
    When the store has an entry of a router without a port
    Then it is read

  # Guards against any entry that raises, or that names an endpoint which can't be used.
  Scenario: Entries of any content are read
    When the store has endpoints' entries with any values in their fields
    Then reading raises nothing, and each endpoint that is read can be used

  # Guards against a data centre that takes a link's bandwidth for a part of its name.
  Scenario Outline: A router's entry tells its data centre and its link
    When a router in <centre> on a link of <link> Mbit/s writes its entry
    Then that entry is read as it was meant
    And without the link, as earlier versions write it, it is read too

    Examples:
      | centre    | link |
      | here      | 200  |
      | two words | 10   |
      | zone 7    | 0    |
