Feature: What instances share stays true under each fault and each pair

  Revisions never decrease, a change that was refused is not in the store, two
  holders never act under one fencing number, and an old holder stops before a
  new one starts.

  Scenario Outline: <faults>
    Then no history of "<faults>" breaks what instances share

    Examples:
      | faults                             |
      | outage                             |
      | slow_store                         |
      | lost_answer                        |
      | skipped_watch                      |
      | paused_holder                      |
      | racing_operators                   |
      | partition                          |
      | outage and slow_store              |
      | outage and lost_answer             |
      | outage and skipped_watch           |
      | outage and paused_holder           |
      | outage and racing_operators        |
      | outage and partition               |
      | slow_store and lost_answer         |
      | slow_store and skipped_watch       |
      | slow_store and paused_holder       |
      | slow_store and racing_operators    |
      | slow_store and partition           |
      | lost_answer and skipped_watch      |
      | lost_answer and paused_holder      |
      | lost_answer and racing_operators   |
      | lost_answer and partition          |
      | skipped_watch and paused_holder    |
      | skipped_watch and racing_operators |
      | skipped_watch and partition        |
      | paused_holder and racing_operators |
      | paused_holder and partition        |
      | racing_operators and partition     |

  Scenario: A change whose answer was lost is found under a later change
    Then a lost answer is told from a lost race after another operator's change
