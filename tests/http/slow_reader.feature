Feature: A client reads a body more slowly than it arrives

  Scenario: Bytes that arrived while the reader was busy are returned without a wait
    Given a server that sends one piece and then the rest
    When a client reads the first piece and resumes reading after the rest has arrived
    Then it has received the whole body
