Feature: Live requests are admitted only if they can be served in time

  Scenario Outline: <case>
    Given a live request that waits <wait> s, works <usual> to <long> s and has <left> s
    And its team uses <used> of the open requests and may use <fair>
    Then admission answers "<answer>"

    Examples:
      | case                                  | wait | usual | long | left | used | fair | answer               |
      | time enough                           | 0.5  | 1.0   | 1.0  | 3.0  | 0.5  | 0.5  | admitted             |
      | work alone takes too long             | 0.0  | 3.0   | 3.0  | 3.0  | 0.5  | 0.5  | deadline_unreachable |
      | the queue is too long                 | 2.0  | 1.0   | 1.0  | 3.0  | 0.5  | 0.5  | deadline_unreachable |
      | a free slot, if usually in time       | 0.0  | 1.0   | 2.9  | 3.0  | 0.5  | 0.5  | admitted             |
      | no place in a queue if it may be long | 0.1  | 1.0   | 2.9  | 3.0  | 0.5  | 0.5  | deadline_unreachable |
      | the queue is bounded at any deadline  | 21.0 | 1.0   | 1.0  | 600  | 0.5  | 0.5  | overloaded           |
      | over its share but no queue           | 0.0  | 1.0   | 1.0  | 3.0  | 0.9  | 0.5  | admitted             |
      | over its share in a queue             | 1.2  | 1.0   | 1.0  | 3.0  | 0.9  | 0.5  | overloaded           |
      | the other team in the same queue      | 1.2  | 1.0   | 1.0  | 3.0  | 0.1  | 0.5  | admitted             |
      | no other team is active               | 1.2  | 1.0   | 1.0  | 3.0  | 1.0  | 1.0  | admitted             |

  Scenario Outline: shares of active teams: <case>
    Given open live requests of teams "<open>" with shares "a=3 b=1 c=4"
    Then the fair share of team a is <fair>

    Examples:
      | case                        | open        | fair |
      | alone                       | a=5         | 1.0  |
      | with b                      | a=5 b=1     | 0.75 |
      | with b and c                | b=1 c=9     | 0.375 |
      | a team without open is idle | a=1 b=0 c=0 | 1.0  |

  Scenario Outline: rollouts: <case>
    Given an engine with 8 slots, <busy> requests and <rollouts> own rollouts
    Then one more rollout may start: <room>
    And <moved> rollouts make room for live requests

    Examples:
      | case                            | busy | rollouts | room | moved |
      | an idle engine                  | 0    | 0        | yes  | 0     |
      | the last slot but the reserve   | 5    | 5        | yes  | 0     |
      | the reserve is kept             | 6    | 6        | no   | 0     |
      | a live request takes of it      | 7    | 6        | no   | 1     |
      | a queue                         | 10   | 6        | no   | 4     |
      | never more than there are       | 20   | 2        | no   | 2     |

  Scenario: the newest rollouts go first
    Given a target state with rollouts r1, r2 and r3
    When it is told to pre-empt 1 and then 1 more
    Then rollouts r3 and r2 were told to move, and r1 was not
