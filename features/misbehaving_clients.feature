Feature: Clients that don't behave end no process and stop no ordinary call

  # Guards against a process that runs out of memory or descriptors, or answers
  # nobody, because of what clients send or leave unread. Memory counts as the
  # platform counts it, with temporary files and unread bytes.
  Scenario Outline: <count> clients that send <what>
    Given an instance with <memory> MB and 1200 descriptors that takes bodies of <body> MB
    And targets that take long
    When <count> clients send <what> and keep their connections
    Then an ordinary call is answered
    And the instance is ready
    And the process lives within its memory and descriptors

    Examples:
      | count | memory | body | what                             |
      | 48    | 128    | 4    | whole bodies                     |
      | 48    | 128    | 4    | whole bodies in parts            |
      | 48    | 128    | 4    | bodies that lack a byte          |
      | 48    | 128    | 4    | bodies in parts that lack a byte |
      | 48    | 128    | 4    | large chunks without the last    |
      | 64    | 128    | 4    | small chunks without the last    |
      | 64    | 128    | 4    | a size line that does not end    |
      | 64    | 128    | 4    | a trailer that does not end      |
      | 500   | 96     | 4    | many header fields               |
      | 500   | 96     | 4    | many requests at once            |
      | 1100  | 128    | 4    | nothing                          |
      | 4     | 128    | 4    | jobs that are costly to decode   |
      | 30    | 128    | 4    | whole jobs                       |

  Scenario Outline: <count> clients that send <what> and <read>
    Given an instance with 128 MB and 1200 descriptors that takes bodies of 4 MB
    When <count> clients send <what> and keep their connections
    And they <read>
    Then an ordinary call is answered
    And the instance is ready
    And the process lives within its memory and descriptors

    Examples:
      | count | what                   | read         |
      | 60    | calls for long answers | read nothing |
      | 60    | calls for long answers | read slowly  |
      | 80    | calls for long streams | read nothing |
      | 80    | calls for long streams | read slowly  |

  Scenario: clients that leave short answers unread and then send a malformed request
    Given an instance with 96 MB and 1200 descriptors that takes bodies of 4 MB
    When 300 clients send a call for 370 KB and a malformed request and keep their connections
    And they read nothing
    Then an ordinary call is answered
    And the process lives within its memory and descriptors

  Scenario Outline: a body of exactly the largest size, <framing>
    Given an instance with 150 MB and 1200 descriptors that takes bodies of 32 MB
    When a client sends a body of 33554432 bytes <framing>
    Then it gets 200
    And the process lives within its memory and descriptors

    Examples:
      | framing               |
      | with its length       |
      | in chunks of 48 bytes |

  # Closing a connection with unread bytes destroys a response on its way.
  Scenario: a refusal arrives at clients that send a whole body first
    Given an instance with 128 MB and 1200 descriptors that takes bodies of 4 MB
    When a client sends a body of 8388608 bytes with its length
    Then it gets 413

  Scenario: a refused body is stated not to have run
    Given an instance with 30 MB and 1200 descriptors that takes bodies of 32 MB
    When a client sends a body of 33554432 bytes with its length
    Then it gets 429
    And the response names a time to retry, and that nothing ran
    And the metrics count a connection closed for memory

  Scenario: memory and descriptors are given back
    Given an instance with 300 MB and 1200 descriptors that takes bodies of 4 MB
    And targets that take long
    When 16 clients send whole bodies and keep their connections
    And their calls have ended and they leave
    Then the process holds at most 24 MB and 24 descriptors more than before

  # Guards against a budget that fills up with what nobody holds.
  Scenario: what clients held is given back when they reset connections
    Given an instance with 300 MB and 1200 descriptors that takes bodies of 4 MB
    When 200 clients at a time send a malformed request and a body and reset, 20 times
    Then the metrics show as much memory of requests as before
