Feature: Fault matrix, roll-outs of weights

  Scenario Outline: weights <step>, <fault>
    Given two instances that own the engines of two regions
    When "<fault>" strikes a roll-out at step "<step>"
    Then after the fault all engines serve version <serves>
    And no engine was switched to weights that it was known not to hold
    And no engine that checks fencing took an order older than its newest

    Examples:
      | step    | fault                      | serves  |
      | fetch   | engine_crash               | 2       |
      | fetch   | process_death              | 2       |
      | fetch   | swap_failure               | 2       |
      | fetch   | store_down                 | 2       |
      | fetch   | store_slow                 | 2       |
      | fetch   | lost_answer                | 2       |
      | fetch   | paused_holder              | 3       |
      | fetch   | racing_operators           | 3       |
      | fetch   | silent_connection          | 2       |
      | fetch   | partition                  | 2       |
      | fetch   | store_down+engine_crash    | 2       |
      | fetch   | lost_answer+process_death  | 2       |
      | fetch   | partition+racing_operators | 3       |
      | fetch   | paused_holder+swap_failure | 3       |
      | stage   | engine_crash               | 2       |
      | stage   | process_death              | 2       |
      | stage   | swap_failure               | 2       |
      | stage   | store_down                 | 2       |
      | stage   | store_slow                 | 2       |
      | stage   | lost_answer                | 2       |
      | stage   | paused_holder              | 3       |
      | stage   | racing_operators           | 3       |
      | stage   | silent_connection          | 2       |
      | stage   | partition                  | 2       |
      | stage   | store_down+engine_crash    | 2       |
      | stage   | lost_answer+process_death  | 2       |
      | stage   | partition+racing_operators | 3       |
      | stage   | paused_holder+swap_failure | 3       |
      | switch  | engine_crash               | 2       |
      | switch  | process_death              | 2       |
      | switch  | swap_failure               | 2       |
      | switch  | store_down                 | 2       |
      | switch  | store_slow                 | 2       |
      | switch  | lost_answer                | 2       |
      | switch  | paused_holder              | 3       |
      | switch  | racing_operators           | 3       |
      | switch  | silent_connection          | 2       |
      | switch  | partition                  | 2       |
      | switch  | store_down+engine_crash    | 2       |
      | switch  | lost_answer+process_death  | 2       |
      | switch  | partition+racing_operators | 3       |
      | switch  | paused_holder+swap_failure | 3       |
      | confirm | engine_crash               | 2       |
      | confirm | process_death              | 2       |
      | confirm | swap_failure               | 2       |
      | confirm | store_down                 | 2       |
      | confirm | store_slow                 | 2       |
      | confirm | lost_answer                | 2       |
      | confirm | paused_holder              | 3       |
      | confirm | racing_operators           | 3       |
      | confirm | silent_connection          | 2       |
      | confirm | partition                  | 2       |
      | confirm | store_down+engine_crash    | 2       |
      | confirm | lost_answer+process_death  | 2       |
      | confirm | partition+racing_operators | 3       |
      | confirm | paused_holder+swap_failure | 3       |
