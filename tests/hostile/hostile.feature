Feature: Clients outside the limits end no router

  Each scenario starts a store, an endpoint and one router as a process of its own. A
  crowd of clients then breaks the limits of the configuration, as fast as the router
  takes it. The settings give the router little memory and few descriptors.

  Scenario Outline: A crowd that sends <what>
    Given a router with 64 MB of memory and 456 descriptors
    When 64 clients send <what>
    Then the router's process lives
    And it never held more than 64 MB
    And it never had more than 256 sockets open
    And an ordinary request is answered while the crowd stays
    And the largest allowed request is answered once the crowd has left

    Examples: Bodies and heads
      | what                                |
      | bodies of an announced size too big |
      | chunked bodies that are too big     |
      | heads that are too big              |
      | heads without an end                |
      | empty lines without an end          |
      | large chunks that stop short        |

  # Each piece of a body costs much more memory than its bytes, and time to parse.
  Scenario: A crowd that sends very small chunks
    Given a router with 64 MB of memory and 456 descriptors
    When 48 clients send very small chunks that stop short
    Then the router's process lives
    And it never held more than 64 MB
    And it never had more than 256 sockets open
    And an ordinary request is answered while the crowd stays
    And the largest allowed request is answered once the crowd has left

  # Guards against heads inside the limit that cost many times their bytes as objects,
  # and are held for as long as their bodies don't end.
  Scenario Outline: A crowd that sends <what>
    Given a router with 64 MB of memory and 656 descriptors
    When 110 clients send <what>
    Then the router's process lives
    And it never held more than 64 MB
    And an ordinary request is answered while the crowd stays
    And the largest allowed request is answered once the crowd has left

    Examples: Heads
      | what                                            |
      | many short lines before a body that stops short |
      | many short parts before a body that stops short |

  # A process without descriptors reaches neither endpoints nor the store.
  Scenario: A crowd that opens connections and sends nothing
    Given a router with 64 MB of memory and 456 descriptors
    When 400 clients connect and send nothing
    Then the router's process lives
    And it never held more than 64 MB
    And it never had more than 256 sockets open
    And an ordinary request is answered once the crowd has left
