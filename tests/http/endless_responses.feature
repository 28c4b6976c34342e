Feature: A client reads only so much of a response

  # Guards against a process that fills its memory until a fetch times out.
  Scenario Outline: A fetch whose server sends <bytes> without end
    When a client fetches a page whose server sends <bytes> without end
    Then it fails at the step "<step>" before its timeout
    And it took at most <most> MiB and closed its connection

    Examples:
      | bytes                   | step | most |
      | a body without a length | body | 80   |
      | chunks                  | body | 80   |
      | informational responses | head | 8    |
      | header lines            | head | 8    |

  # Guards against a bound that a sound server meets.
  Scenario: A large response after informational ones is fetched
    When a server sends 4 informational responses and a body of 32 MiB
    Then the client gets the whole body
