Feature: All instances together keep to the request limit that a target names

  Scenario Outline: the limit is decoded from every response that can name it
    Given a target that answers a <request> with status <status> and "<headers>"
    When an instance sends it a <request>
    Then the limit that the client reports is <limit>

    Examples:
      | request | status | headers                                | limit    |
      | call    | 200    | X-Server-Stamp: s, Server-Limit: 2.5   | 2.5      |
      | call    | 500    | X-Server-Stamp: s, Server-Limit: 3     | 3.0      |
      | call    | 503    | X-Not-Executed: 1, Server-Limit: 0     | 0.0      |
      | stream  | 200    | X-Server-Stamp: s, Server-Limit: 40    | 40.0     |
      | query   | 200    | Server-Limit: 7                        | 7.0      |
      | order   | 202    | Server-Limit: 7                        | 7.0      |
      | call    | 200    | X-Server-Stamp: s                      | none     |
      | call    | 503    | X-Not-Executed: 1                      | none     |
      | query   | 200    | Content-Type: x                        | unstated |
      | order   | 202    | Content-Type: x                        | unstated |
      | call    | 421    | X-Not-Executed: 1, Server-Limit: 2     | unstated |
      | call    | 200    | X-Server-Stamp: s, Server-Limit: nan   | unstated |
      | call    | 200    | X-Server-Stamp: s, Server-Limit: -1    | unstated |
      | call    | 200    | X-Server-Stamp: s, Server-Limit: many  | unstated |

  Scenario Outline: a response to a request sent before the limit was named does not end it
    Given a target that named a limit at 10 s
    When a response without a limit to a request sent at <sent> s arrives
    Then the target <has> a limit

    Examples:
      | sent | has    |
      | 9.9  | has    |
      | 10.1 | has no |

  Scenario Outline: targets that named a limit get no more, whatever is sent
    Given instances a, b and c before 2 engines and 2 scorers of 8 slots
    And every target names a limit of 2.5 requests a second
    When the instances <work> for 9 s
    Then from 3 s after that no target gets more than its limit allows
    And from 3 s after that at least half of the limits is used

    Examples:
      | work          |
      | forward calls |
      | open streams  |
      | run samples   |
      | score samples |

  Scenario Outline: targets that named a limit get no more while instances change
    Given instances a, b and c before 2 engines and 2 scorers of 8 slots
    And every target names a limit of 2.5 requests a second
    When the instances forward calls for 10 s while <event>
    Then from 3 s after that no target gets more than its limit allows

    Examples:
      | event                                  |
      | b restarts every second                |
      | d and e join                           |
      | c is lost                              |
      | no instance reaches another one        |
      | a and b don't reach c, nor c them      |
      | calls between the instances are lost   |

  Scenario Outline: a share has one user at a time
    Given a share that is lent to a until 10 s
    When <borrower> asks for it at <at> s until <until> s
    Then it is <result>

    Examples:
      | borrower | at  | until | result              |
      | a        | 9   | 12    | lent to a until 12  |
      | a        | 9   | 9.5   | lent to a until 10  |
      | b        | 9.9 | 12    | not lent            |
      | b        | 10  | 12    | lent to b until 12  |

  Scenario Outline: tokens accrue by the lent part of the limit
    Given a limit of <rate> requests a second and loans of <share>
    When <seconds> s pass with <tokens> tokens left
    Then there are <result> tokens

    Examples: a bucket keeps 4 tokens of 1.5 s, more of half a second, or one
      | rate | share | seconds | tokens | result |
      | 2.5  | 1     | 0.2     | 0      | 0.5    |
      | 2    | 1     | 9       | 0      | 3      |
      | 6    | 1     | 9       | 0      | 4      |
      | 2.5  | 0.5   | 0.4     | 0.25   | 0.75   |
      | 0.5  | 0.5   | 60      | 0      | 1      |
      | 40   | 1     | 60      | 0      | 20     |
      | 40   | 0     | 60      | 3      | 1      |
      | 0    | 1     | 5       | 0      | 0.5    |

  Scenario Outline: callers get tokens before samples and reward calls
    Given the buckets "<buckets>"
    When an instance asks for <live> live and <deferrable> deferrable tokens while live requests <wait> elsewhere
    Then it gets "<tokens>"

    Examples:
      | buckets      | live | deferrable | wait       | tokens         |
      | t0 2.9 t1 1  | 1    | 5          | don't wait | t0 1,1 t1 0,1  |
      | t0 0.9 t1 1  | 2    | 1          | don't wait | t1 1,0         |
      | t0 2 t1 2    | 0    | 9          | wait       |                |
      | t0 2 t1 2    | 1    | 9          | wait       | t0 1,0         |
      |              | 1    | 1          | don't wait |                |

  Scenario Outline: placement uses limited targets last, and only with a token
    Given targets "<targets>" with sends and free slots
    When a <request> is placed within limits
    Then target "<chosen>" is chosen within limits

    Examples:
      | targets             | request | chosen |
      | a:2:4 b:inf:4       | call    | b      |
      | a:2:4 b:inf:0       | call    | a      |
      | a:0:4 b:inf:0       | call    | b      |
      | a:0:4 b:0:4         | call    | none   |
      | a:1:4 b:inf:0       | hedge   | b      |
      | a:1:4 b:1:4         | hedge   | none   |
      | a:2:4 b:inf:4       | sample  | b      |
      | a:2:4 b:inf:0       | sample  | a      |
      | a:0:4 b:inf:0       | sample  | none   |

  Scenario Outline: a call that no limited target takes in time is rejected at once
    Given all targets are limited and <waiting> live requests wait for <rate> tokens a second
    When a call with <left> s left asks for a place
    Then the call is told to <action> and to retry after <retry> s

    Examples:
      | waiting | rate | left | action | retry |
      | 2       | 4    | 2    | wait   | 0     |
      | 8       | 4    | 2    | reject | 2     |
      | 100     | 4    | 2    | reject | 3     |

  Scenario: a limited engine finishes its runs before it loads weights, instead of moving them
    Given instances a, b and c before 2 engines of 8 places
    And target t0 names a limit of 40 requests a second, from its first answer on
    When a runs 16 samples of 100 events, and t0 and t1 are to load version 2
    Then t0 is ordered to finish its runs, and none of them ran elsewhere
    And t1 is not, and its runs went on elsewhere
