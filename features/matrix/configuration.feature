Feature: Fault matrix, changes of the configuration

  Scenario Outline: configuration <step>, <fault>
    Given two instances that hold the configuration of one store
    When "<fault>" strikes a change of the configuration at step "<step>"
    Then the operator is told "<told>"
    And after the fault both instances hold the "<held>" configuration and none went back

    Examples:
      | step   | fault                     | told     | held  |
      | check  | store_down                | no       | old   |
      | check  | racing_operators          | conflict | other |
      | check  | process_death             | died     | old   |
      | write  | store_down                | no       | old   |
      | write  | store_slow                | ok       | new   |
      | write  | lost_answer               | ok       | new   |
      | write  | lost_answer+store_down    | unknown  | new   |
      | write  | lost_answer+process_death | died     | new   |
      | write  | silent_connection+store_down | unknown | old   |
      | write  | process_death             | died     | old   |
      | write  | paused_holder             | no       | old   |
      | write  | racing_operators          | conflict | other |
      | write  | silent_connection         | ok       | new   |
      | write  | partition                 | no       | old   |
      | write  | lost_answer+racing_operators | unknown  | other |
      | notify | process_death             | died     | new   |
      | notify | partition                 | ok       | new   |
      | notify | racing_operators          | ok       | other |
      | apply  | process_death             | ok       | new   |
      | apply  | store_down                | ok       | new   |
      | notify | store_down                | ok       | new   |
      | notify | store_slow                | ok       | new   |
      | notify | paused_holder             | ok       | new   |
      | apply  | store_slow                | ok       | new   |
      | apply  | paused_holder             | ok       | new   |
      | apply  | partition                 | ok       | new   |
      | apply  | racing_operators          | ok       | other |
