Feature: The rules language

  Scenario: all problems of a file are reported at once
    When this file is parsed
      """
      serve x
      team a wieght=2 # maria: large
      team b weight=nan # maria
      call a POST
      pin team a too endpoint 1:2 # a: b
      service y deadline=60 kind=mode # a: b
      hold # a: b
      """
    Then the problems are
      | line | column | found       | expected                                       | suggestion |
      | 1    | 1      | serve       | one of service, team, call, hold, drain, pin, keep | service    |
      | 1    | 8      |             | a comment '# who: why' that says who asked for the rule |    |
      | 2    | 8      | wieght=2    | one of weight, max-running, token-sha256       | weight     |
      | 3    | 8      | weight=nan  | a number from 0.001 to 1000                    |            |
      | 3    | 19     | maria       | a comment '# who: why' that says who asked for the rule |    |
      | 4    | 12     |             | a comment '# who: why' that says who asked for the rule |    |
      | 4    | 12     |             | call SERVICE METHOD PATH [idempotent= priority=] |          |
      | 5    | 12     | too         | 'to'                                           |            |
      | 5    | 25     | 1:2         | an endpoint as IP:port                         |            |
      | 6    | 11     | deadline=60 | a duration with its unit (ms, s, m, h), 24h at most |       |
      | 6    | 23     | kind=mode   | one of model, plain                            | model      |
      | 7    | 5      |             | hold service\|team NAME                        |            |

  Scenario Outline: rules are checked against each other: <fault>
    When the lines "<first>" and "<second>" are parsed beside a service s and a team t
    Then line 4 is rejected with "<expected>"

    Examples:
      | fault             | first                               | second                            | expected                          |
      | duplicate service | service a                           | service a kind=plain              | line 3 has it already             |
      | duplicate call    | call s POST /a idempotent           | call s POST /a idempotent=no      | line 3 has it already             |
      | unknown service   | drain data-centre x                 | call ss POST /a                   | a service that a line defines     |
      | unknown team      | drain data-centre x                 | hold team tt                      | a team that a line defines        |
      | two pins          | pin team t to data-centre a         | pin team t to data-centre b       | line 3 pins it elsewhere          |
      | pin and keep      | keep team t out-of data-centre a    | pin team t to data-centre a       | line 3 says the opposite          |
      | pin to drained    | drain data-centre a                 | pin team t to data-centre a       | line 3 drains it                  |
      | queue too long    | drain data-centre a                 | service b deadline=5s             | queue= no longer than deadline=   |
      | no batch share    | service b batch-share=0             | call b POST /x priority=batch     | line 3 gives batch-share=0        |

  Scenario: two teams share a token, and a team has none
    When teams a and b share a token and team c has none
    Then team b is rejected with "line 1 has the same"
    And team c is rejected with "nobody could call"

  Scenario: a file larger than the store's limit is rejected
    When a file of 1000001 bytes is parsed
    Then the problem is "at most 1000000 bytes"

  Scenario Outline: idempotence and priority of a call: <method> <path>
    When the rules of the example "Caruso" are in force
    Then <method> <path> of <service> is <idempotence> and <priority>

    Examples:
      | service   | method | path                  | idempotence    | priority    |
      | bottega   | POST   | /orders               | non-idempotent | interactive |
      | bottega   | POST   | /ordersheet           | non-idempotent | interactive |
      | bottega   | GET    | /orders/7?full=1      | idempotent     | quick       |
      | bottega   | GET    | /ordersheet           | idempotent     | interactive |
      | bottega   | PATCH  | /orders/7             | non-idempotent | interactive |
      | bottega   | PUT    | /orders/7             | idempotent     | interactive |
      | consiglio | POST   | /v1/chat/completions  | idempotent     | interactive |
      | consiglio | POST   | /v1/summaries         | idempotent     | batch       |
      | consiglio | POST   | /v1/other             | non-idempotent | interactive |

  Scenario: the rule with the longest path decides, and the next one what it leaves open
    When the calls "* / priority=batch", "POST /a idempotent" and "POST /a/b idempotent=no" are in force
    Then POST /a/b of s is non-idempotent and batch
    And POST /a/c of s is idempotent and batch

  Scenario: a token identifies its team
    When the rules give team orto the token "noce"
    Then the token "noce" belongs to team orto
    And the token "quercia" belongs to no team

  Scenario: holds, drains and pins apply to what they name
    When the rules of the example "Kigali" are in force
    Then requests of team ledgers are held and those of team shelf are not
    And an endpoint in kicukiro is drained and one in gasabo is not
    And the chat 0123456789abcdef0123456789abcdef of team shelf goes to 127.0.0.1:4203 only

  Scenario: the examples of both deployments are valid
    Then the examples of RULES.md are valid and define the services
      | example | services              |
      | Caruso  | consiglio, bottega    |
      | Kigali  | glue-model, alert-app |
