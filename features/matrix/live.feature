Feature: Fault matrix, live calls that may not be repeated

  Each row injects one fault, or a pair of faults, at one step of the first
  call. After the fault, the call is repeated with the same key through a
  second instance.

  Scenario Outline: live <step>, <fault>
    Given two entry instances over one store and two replicas
    When "<fault>" strikes the first call at step "<step>"
    Then the first call ends "<first>" and its repeat "<repeat>"
    And the call ran <runs> time in all and no answer was false

    Examples:
      | step   | fault                        | first   | repeat  | runs |
      | accept | engine_crash                 | ok      | ok      | 1    |
      | accept | process_death                | died    | ok      | 1    |
      | accept | store_down                   | not_run | ok      | 1    |
      | accept | store_slow                   | ok      | ok      | 1    |
      | accept | paused_holder                | ok      | ok      | 1    |
      | accept | racing_operators             | ok      | ok      | 1    |
      | accept | partition                    | not_run | ok      | 1    |
      | claim  | process_death                | died    | ok      | 1    |
      | claim  | store_down                   | not_run | ok      | 1    |
      | claim  | store_slow                   | ok      | ok      | 1    |
      | claim  | lost_answer                  | ok      | ok      | 1    |
      | claim  | paused_holder                | not_run | ok      | 1    |
      | claim  | racing_operators             | ok      | ok      | 1    |
      | claim  | silent_connection            | ok      | ok      | 1    |
      | claim  | partition                    | not_run | ok      | 1    |
      | claim  | lost_answer+store_down       | not_run | ok      | 1    |
      | claim  | lost_answer+process_death    | died    | unknown | 0    |
      | claim  | lost_answer+paused_holder    | not_run | ok      | 1    |
      | choose | engine_crash                 | ok      | ok      | 1    |
      | choose | process_death                | died    | unknown | 0    |
      | choose | store_down                   | ok      | ok      | 1    |
      | choose | store_slow                   | ok      | ok      | 1    |
      | choose | paused_holder                | not_run | ok      | 1    |
      | choose | racing_operators             | ok      | ok      | 1    |
      | choose | partition                    | ok      | ok      | 1    |
      | choose | paused_holder+store_down     | not_run | ok      | 1    |
      | choose | paused_holder+process_death  | died    | unknown | 0    |
      | send   | engine_crash                 | unknown | unknown | 0    |
      | send   | process_death                | died    | unknown | 0    |
      | send   | store_down                   | ok      | ok      | 1    |
      | send   | store_slow                   | ok      | ok      | 1    |
      | send   | paused_holder                | unknown | unknown | 1    |
      | send   | racing_operators             | ok      | ok      | 1    |
      | send   | silent_connection            | unknown | unknown | 0    |
      | send   | partition                    | unknown | unknown | 0    |
      | send   | silent_connection+store_down | unknown | unknown | 0    |
      | answer | engine_crash                 | unknown | unknown | 1    |
      | answer | process_death                | died    | unknown | 1    |
      | answer | store_down                   | ok      | ok      | 1    |
      | answer | store_slow                   | ok      | ok      | 1    |
      | answer | lost_answer                  | unknown | unknown | 1    |
      | answer | paused_holder                | ok      | ok      | 1    |
      | answer | racing_operators             | ok      | ok      | 1    |
      | answer | silent_connection            | unknown | unknown | 1    |
      | answer | partition                    | unknown | unknown | 1    |
      | answer | lost_answer+store_down       | unknown | unknown | 1    |
      | answer | lost_answer+process_death    | died    | unknown | 1    |
      | record | process_death                | ok      | unknown | 1    |
      | record | store_down                   | ok      | ok      | 1    |
      | record | store_slow                   | ok      | ok      | 1    |
      | record | lost_answer                  | ok      | ok      | 1    |
      | record | paused_holder                | ok      | ok      | 1    |
      | record | racing_operators             | ok      | ok      | 1    |
      | record | silent_connection            | ok      | ok      | 1    |
      | record | partition                    | ok      | ok      | 1    |
      | record | lost_answer+process_death    | ok      | ok      | 1    |
