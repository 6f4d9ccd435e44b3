Feature: The HTTP client takes only whole answers, as they come

  Scenario Outline: an answer that ends early is a failure
    Given a raw server that answers "<answer>" and closes
    When the client asks it once
    Then the call fails as sent

    Examples:
      | answer                                                           |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc                  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n |
      | HTTP/1.1 200                                                     |
      | HTTP/1.1 200 OK\r\nX-Part: 1                                      |
      | HTTP/1.1 200 OK\r\nX-Part: 1\r\n                                  |

  Scenario Outline: a whole answer is read whatever its framing
    Given a raw server that answers "<answer>" and closes
    When the client asks it once
    Then the client reads "abc"

    Examples:
      | answer                                                                |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc                       |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n |
      | HTTP/1.1 200 OK\r\n\r\nabc                                            |

  Scenario Outline: an answer of known length ends at its length and its connection is used again
    Given a raw server that answers "<answer>" and stays
    When the client asks it 3 times with a check
    Then each call took less than 0.5 s
    And the raw server saw 1 connection

    Examples:
      | answer                                              |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc       |
      | HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n      |

  Scenario: a connection that the other end will close is not used again
    Given a raw server that answers "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\nabc" and stays
    When the client asks it 2 times, 0.9 s apart
    Then the raw server saw 2 connections

  Scenario: bytes after a whole answer end its connection
    Given a raw server that answers "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n" and stays
    When the client asks it 2 times, 0.1 s apart
    Then the raw server saw 2 connections

  Scenario: lines of a stream are given out when they come
    Given a raw server that sends a chunked line each 0.2 s
    When the client reads its stream
    Then the first line came within 0.15 s
    And 5 lines came one after the other

  Scenario: a connect to a silent address is given up early
    When the client connects to an address that drops packets
    Then the connect fails within 1.0 s

  Scenario: the clock counts the time of a suspended machine
    Then the system clock follows the boot time

  Scenario: a server that accepts and never answers is reported as silent
    Given a raw server that never answers
    When the client asks it with 0.3 s to live
    Then the silence is reported

  Scenario Outline: bytes that are no answer and never end are given up in time
    Given a raw server that sends "<start>" and then "<more>" <pace> until it is closed
    When the client reads it as a <kind> with 1 s to live
    Then the call fails within 1.5 s, and little more is sent than may be read

    Examples:
      | start                                            | more                            | pace         | kind   |
      | HTTP/1.1 200 OK\r\nX-Long:                       | a                               | fast         | call   |
      | HTTP/1.1 200 OK\r\nX-Long:                       | a                               | drop by drop | call   |
      | HTTP/1.1 200 OK\r\n                              | X-More: b\r\n                   | fast         | call   |
      | HTTP/1.1 200 OK\r\n                              | X-More: b\r\n                   | drop by drop | call   |
      | HTTP/1.1                                         | z                               | drop by drop | call   |
      | HTTP/1.1 100 Continue\r\n\r\n                    | HTTP/1.1 100 Continue\r\n\r\n   | fast         | call   |
      | HTTP/1.1 100 Continue\r\n\r\n                    | HTTP/1.1 100 Continue\r\n\r\n   | drop by drop | call   |
      | HTTP/1.1 200 OK\r\n\r\n                          | a                               | fast         | call   |
      | HTTP/1.1 200 OK\r\n\r\n                          | a                               | drop by drop | call   |
      | HTTP/1.1 200 OK\r\n\r\n                          | a                               | fast         | stream |
      | HTTP/1.1 200 OK\r\n\r\n                          | a                               | drop by drop | stream |

    # Guards against calls that outlive their deadline, and keep their thread,
    # until the engine stops sending.
    Examples: chunks and trailers
      | start                                                             | more        | pace         | kind   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n             | 0           | drop by drop | call   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n             | 0           | fast         | stream |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;          | a           | drop by drop | stream |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n             | 1\r\na\r\n | fast         | call   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n             | 1\r\na\r\n | fast         | stream |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n             | 1\r\na\r\n | drop by drop | call   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n | X-A: b\r\n | fast         | call   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n | X-A: b\r\n | drop by drop | call   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n | X-A: b\r\n | drop by drop | stream |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX | a | drop by drop | call |

  # Guards against an instance whose memory fills with events that never end.
  Scenario Outline: an event without end is given up while it is small
    Given a target that answers with events, and then "<more>" without end
    When a stream of its events is read
    Then the stream fails within 1.5 s, and the target could send no more than 16 MB

    Examples:
      | more                            |
      | data: aaaaaaaaaaaaaaaaaaaa\n    |
      | : a comment that goes on\n      |
      | \x20\x20a                       |

  # Guards against an instance whose memory fills with the bodies of calls that
  # have failed.
  Scenario: a call that failed keeps nothing of its body
    Given a raw server that sends "HTTP/1.1 200 OK\r\n\r\n" and then "a" fast until it is closed
    When the client reads it as a call with 5 s to live 4 times, and keeps the errors
    Then the errors hold less than 1 MB

  Scenario Outline: an answer that comes drop by drop ends at the deadline without a check too
    Given a raw server that sends "<start>" and then "a" drop by drop until it is closed
    When the client asks it without a check, with 1 s to live
    Then the call fails within 1.5 s, and little more is sent than may be read

    Examples:
      | start                                          |
      | HTTP/1.1 200 OK\r\n\r\n                        |
      | HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n |
