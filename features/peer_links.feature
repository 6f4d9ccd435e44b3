Feature: An instance reopens its streams to peers, and tells why they ended

  Scenario Outline: A stream that its acceptor ends is lost, not a fault
    Given an acceptor that ends each stream with status "<status>"
    When an instance opens a stream to it
    Then the stream is reopened within 10 s without a logged error

    Examples:
      | status      |
      | OK          |
      | UNAVAILABLE |

  Scenario: A peer that accepts streams again no longer counts as refusing
    Given a peer that refuses connections until it is restarted
    When an instance opens a stream to it, and it is restarted
    Then it no longer counts as refusing while the stream is open
