Feature: What operators of similar systems reported does not happen here

  Scenario: a late second copy of an answer goes to nobody
    Given a server that sends each answer twice, the second one late
    When an instance sends it 5 calls on kept connections
    Then each call gets its own answer or an error, and none another's

  Scenario Outline: a stalled stream that sends something now and then ends
    Given a server whose stream sends "<bytes>" each 0.1 s
    When an instance reads it with a stall limit of 0.5 s
    Then the read fails as silent after 0.4 to 1.0 s

    Examples:
      | bytes        |
      | x            |
      | : comment\n  |
      | data: y\n    |

  Scenario: a slow but sound stream is passed on whole
    Given a forwarder before 3 targets of 6 places
    And all targets pause 1.4 s between events
    When a stream of 2 events that may not be resumed is forwarded
    Then the caller reads events 1 to 2 once each

  Scenario Outline: a malformed event fails its run and nothing else
    Given a server whose stream sends "<bytes>" each 0.1 s
    When an instance reads it with a stall limit of 0.5 s
    Then the read fails with "<reason>"

    Examples:
      | bytes                            | reason            |
      | id: ²\n\n                        | expected a number |
      | id: 1x\n\n                       | expected a number |
      | id: 1\nx-weight-versions: v2\n\n | expected a number |

  Scenario: a malformed registration hides no other instance
    Given instances "a b c d e f" that have registered
    When the registration of another program can't be decoded
    Then all instances are registered

  Scenario: a malformed job hides no other job
    Given instances a, b and c before 2 engines of 8 places
    When a accepts a job of 2 groups of 4 samples with 5 events
    And a head that can't be decoded stands beside it
    Then the heads of the jobs can be read, without that one
