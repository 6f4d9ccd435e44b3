Feature: A target whose responses say that it is draining gets nothing more

  Scenario Outline: every kind of response is decoded
    Given a target that answers a <request> with status <status> and "<headers>"
    When an instance sends it a <request>
    Then the target <is> known to be draining

    Examples:
      | request | status | headers                               | is     |
      | call    | 200    | X-Server-Stamp: s, Server-Leaving: 1  | is     |
      | call    | 500    | X-Server-Stamp: s, Server-Leaving: 1  | is     |
      | call    | 503    | X-Not-Executed: 1, Server-Leaving: 1  | is     |
      | stream  | 200    | X-Server-Stamp: s, Server-Leaving: 1  | is     |
      | stream  | 503    | X-Not-Executed: 1, Server-Leaving: 1  | is     |
      | query   | 200    | Server-Leaving: 1                     | is     |
      | query   | 500    | Server-Leaving: 1                     | is     |
      | order   | 202    | Server-Leaving: 1                     | is     |
      | order   | 409    | Server-Leaving: 1                     | is     |
      | call    | 200    | X-Server-Stamp: s                     | is not |
      | call    | 200    | X-Server-Stamp: s, Server-Leaving: 0  | is not |
      | call    | 421    | X-Not-Executed: 1, Server-Leaving: 1  | is not |

  Scenario Outline: no call or stream follows the response
    Given a forwarder before 3 targets of 6 places
    And the responses of target f0 say that it is draining
    When 12 requests of kind "<kind>" are forwarded
    Then target f0 ran at most 1
    And the list is told of target f0 once

    Examples:
      | kind         |
      | repeatable   |
      | once-only    |
      | stream       |

  Scenario: a refusal counts as well
    Given a forwarder before 3 targets of 6 places
    And target f0 has the fault "full"
    And the responses of target f0 say that it is draining
    When 12 requests of kind "repeatable" are forwarded
    Then target f0 ran at most 1

  Scenario: an attempt that waited for a thread is not sent
    Given a forwarder before 3 targets of 6 places
    And target f0 becomes draining while an attempt at it waits for a thread
    Then the attempt is refused as not sent and target f0 ran none

  Scenario: no sample starts after the response, and running ones end there
    Given instances a, b and c before 2 engines of 8 places
    When a accepts a job of 4 groups of 8 samples with 30 events
    And the responses of engine t0 say that it is draining from 0.05 s on
    Then all results of the job are listed with whole texts of version 1
    And each sample ran 1 times
    And engine t0 started no sample later than 0.2 s after that

  Scenario: no reward call follows the response
    Given instances a, b and c before 2 engines and 2 scorers of 8 slots
    And a score takes 0.1 s
    And the responses of scorer s0 say that it is draining
    When a accepts a scored job of 10 groups of 4 samples with 5 events
    Then all results of the job have the stamps of their reward calls
    And scorer s0 got no reward call later than 0.15 s after its first

  Scenario: the other instances are told
    Given instances a, b and c before 2 engines of 8 places
    And the responses of engine t0 say that it is draining
    When a queries engine t0
    Then b and c send engine t0 nothing more
    And an order to load weights does not choose engine t0

  Scenario: an instance that is told before the list shows the target
    Given instances a, b and c before 2 engines of 8 places
    When b is told that incarnation 2 of engine t0 is draining
    Then b uses engine t0
    When the list shows incarnation 2 of engine t0
    Then b does not use engine t0

  Scenario: a restart of the target ends it
    Given instances a, b and c before 2 engines of 8 places
    And the responses of engine t0 say that it is draining
    When a queries engine t0
    And the list shows incarnation 2 of engine t0
    Then a uses engine t0
