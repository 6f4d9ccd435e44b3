Feature: Inputs are limited in size and time

  Scenario Outline: a sender of <part> that trickles is refused
    Given a server that waits 0.6 s for a whole request
    When a client sends "<start>" and then a byte every 0.1 s
    Then it is refused within 5 s with status 408 and code "request_timeout"

    Examples:
      | part    | start                                                              |
      | headers | POST /v1/completions HTTP/1.1\r\nHost: a                           |
      | a body  | POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n |

  Scenario: a sender that falls silent loses its connection
    Given a server that closes silent connections after 1 s
    When a client sends "POST / HTTP/1.1\r\nHost: a" and then nothing
    Then its connection is closed within 10 s

  Scenario Outline: a daemon with an empty <secret> does not start
    When a daemon is built with an empty <secret> file
    Then it exits with code 2 and names the flag of <secret>

    Examples:
      | secret       |
      | admin-token  |
      | peer-secret  |
