Feature: A response whose head or framing is spoilt is no response

  # Guards against a body that ends with the connection, since the field with
  # its length could not be read, and that passes for the whole one.
  Scenario Outline: a response with a spoilt head is refused
    Given a raw server that answers "<head>\r\n\r\nabc" and closes
    When the client asks it once
    Then the call fails as sent

    Examples: the length
      | head                                                          |
      | HTTP/1.1 200 OK\r\nContent-Length: 1x                         |
      | HTTP/1.1 200 OK\r\nContent-Length: -3                         |
      | HTTP/1.1 200 OK\r\nContent-Length: +3                         |
      | HTTP/1.1 200 OK\r\nContent-Length: 0_3                        |
      | HTTP/1.1 200 OK\r\nContent-Length: 3, 3                       |
      | HTTP/1.1 200 OK\r\nContent-Length:                            |
      | HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999        |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9     |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke                  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked |
      | HTTP/1.1 200 OK\r\nContent-Lenght: 9\r\nKeep-Alive: timeout=10 |
      | HTTP/1.1 200 OK\r\nContent-Lenght: 9\r\nConnection: Keep-Alive |
      | HTTP/1.1 204 None\r\nContent-Length: 3                        |

    Examples: a line that is no field
      | head                                                          |
      | HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 9              |
      | HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 9                   |
      | HTTP/1.1 200 OK\r\nX-A b: x\r\nContent-Length: 9              |
      | HTTP/1.1 200 OK\r\nX-A : x\r\nContent-Length: 9               |
      | HTTP/1.1 200 OK\r\nX-\x01A: x\r\nContent-Length: 9            |
      | HTTP/1.1 200 OK\r\nX-\x7fA: x\r\nContent-Length: 9            |
      | HTTP/1.1 200 OK\r\nX-A: x\x00y\r\nContent-Length: 9           |
      | HTTP/1.1 200 OK\r\nX-A: x\ry\r\nContent-Length: 9             |
      | HTTP/1.1 200 OK\r\nX-A: x\r\n y\r\nContent-Length: 9          |
      | HTTP/1.1 200 OK\r\nX-A: x\nContent-Length: 9                  |

    Examples: the status
      | head                                                          |
      | HTTP/1.1 000 OK\r\nContent-Length: 3                          |
      | HTTP/1.1 099 OK\r\nContent-Length: 3                          |
      | HTTP/1.1 600 OK\r\nContent-Length: 3                          |
      | HTTP/1.1 999 OK\r\nContent-Length: 3                          |
      | HTTP/1.1 20 OK\r\nContent-Length: 3                           |
      | HTTP/1.1 2000 OK\r\nContent-Length: 3                         |
      | HTTP/1.1 +20 OK\r\nContent-Length: 3                          |
      | HTTP/1.1  200 OK\r\nContent-Length: 3                         |
      | HTTP/1.2 200 OK\r\nContent-Length: 3                          |
      | HTTP/2.0 200 OK\r\nContent-Length: 3                          |
      | HTTP/1.1 200 \x01\r\nContent-Length: 3                        |
      | HTTP/1.1 100 Continue\r\nContent-Length: 3                    |
      | HTTP/1.1 101 Switching\r\nContent-Length: 3                   |
      | HTTP/1.1 103 Early Hints\r\nContent-Length: 3                 |

  # Guards against bytes that are taken for a part of a body, or left out of it.
  Scenario Outline: a response with spoilt chunks is refused
    Given a raw server that answers "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n<chunks>" and closes
    When the client asks it once
    Then the call fails as sent

    Examples:
      | chunks                     |
      | +3\r\nabc\r\n0\r\n\r\n     |
      | 0x3\r\nabc\r\n0\r\n\r\n    |
      | 0_3\r\nabc\r\n0\r\n\r\n    |
      | 3 x\r\nabc\r\n0\r\n\r\n    |
      | 3\nabc\r\n0\r\n\r\n        |
      | 3\r\nabcd\r\n0\r\n\r\n     |
      | 3\r\nabc\r0\r\n\r\n        |
      | 3\r\nabcde0\r\n\r\n        |
      | 3;\x00\r\nabc\r\n0\r\n\r\n |
      | 3\r\nabc\r\n0\r\n          |
      | 3\r\nabc\r\n0\r\nx         |
      | 3\r\nabc\r\n0\r\nno field\r\n\r\n |
      | -3\r\nabc\r\n0\r\n\r\n     |

  Scenario Outline: a response that deviates from no rule is taken
    Given a raw server that answers "<response>" and closes
    When the client asks it once
    Then the client reads "abc"

    Examples:
      | response                                                                        |
      | HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc                                    |
      | HTTP/1.0 200 OK\r\n\r\nabc                                                      |
      | HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc                                 |
      | HTTP/1.1 200 OK\r\nConnection: close\r\nKeep-Alive: timeout=10\r\n\r\nabc       |
      | HTTP/1.1 200 Tr\xe8s bien\r\nX-A:\r\nContent-Length:3  \r\n\r\nabc              |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc            |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3 ;a=b\r\nabc\r\n0\r\n\r\n |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n02\r\nbc\r\n0\r\nX-A: b\r\n\r\n |

  # Guards against a success with an empty or short body from an engine that
  # closed in the middle of a head.
  Scenario Outline: a head that ends at any of its bytes is refused
    Then a <kind> is refused, whichever byte of the head of its answer is the last

    Examples:
      | kind   |
      | call   |
      | stream |

  # Guards against any other form of a spoilt length.
  Scenario: no spoilt byte of a length's field leaves another body
    Then each body is whole or refused, whichever byte of its length is spoilt

  # Guards against the same at the client of engines, whose callers got it.
  Scenario Outline: callers get no success from an engine with a spoilt head
    Given a target that answers a <kind> with "<head>" and closes
    Then its answer is refused, and the request may have run

    Examples:
      | kind   | head                                                   |
      | call   | HTTP/1.1 200 OK\r\nContent-Length: 1x                  |
      | call   | HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 9       |
      | call   | HTTP/1.1 000 OK\r\nContent-Length: 9                   |
      | call   | HTTP/1.1 200 OK\r\nX-A b: c\r\nContent-Length: 9       |
      | stream | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke           |
      | stream | HTTP/1.1 200 OK\r\nno field\r\nTransfer-Encoding: chunked |
