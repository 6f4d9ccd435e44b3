Feature: Which instances are taken for live

  Scenario Outline: Reports, time and the list make a verdict
    Given a data centre "a" of 4 members and a data centre "b" of 4
    When the members report "<reports>" for <held> s
    Then member "a-1" is judged "<verdict>" from "a-4"

    Examples:
      | reports                                       | held | verdict |
      |                                               | 60   | alive   |
      | a-2 a-1 silent                                | 60   | slow    |
      | a-2 a-1 slow                                  | 60   | slow    |
      | a-2 a-1 silent, a-3 a-1 slow                  | 60   | slow    |
      | a-2 a-1 silent, a-3 a-1 silent                | 5    | paused  |
      | a-2 a-1 silent, a-3 a-1 silent                | 60   | dead    |
      | a-2 a-1 refused, a-3 a-1 silent               | 0    | dead    |
      | b-1 a-1 refused, b-2 a-1 silent               | 60   | alive   |
      | a-2 a-1 silent old, a-3 a-1 silent old        | 60   | alive   |
      | a-2 a-1 silent, list a-1                      | 5    | paused  |
      | list a-1                                      | 60   | alive   |

  Scenario: A data centre that no stream reaches is cut, and none in it dead
    Given a data centre "a" of 4 members and a data centre "b" of 4
    When every stream from "a" into "b" is silent for 60 s
    Then all of "b" are judged "cut" from "a-1"
    And all of "a" are judged "alive" from "a-1"

  Scenario: One stream that is heard keeps a data centre from being cut
    Given a data centre "a" of 4 members and a data centre "b" of 4
    When one of two streams from "a" into "b" is silent for 60 s
    Then all of "b" are judged "alive" from "a-1"

  Scenario: A dead member lives again by a higher revision only
    Given a data centre "a" of 4 members and a data centre "b" of 4
    When the members report "a-2 a-1 refused, a-3 a-1 refused" for 1 s
    And the reports end
    Then member "a-1" is judged "dead" from "a-4"
    When member "a-1" publishes a higher revision
    Then member "a-1" is judged "alive" from "a-4"

  Scenario: The overlay is connected, sparse and the same for all
    Then overlays of 1 to 60 instances are connected with few streams

  Scenario: Snapshot tables agree after reconciliation in any order
    Then any two snapshot tables that exchange digests hold the newest of both
