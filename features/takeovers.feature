Feature: A job runs at the instance that the store assigns it to

  Background:
    Given instances a, b and c before 2 engines of 8 places

  # Guards against a job that nobody runs, since the store's answer to its
  # takeover was lost.
  Scenario: a takeover that is stored but not confirmed goes on
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is lost
    And each of the next 1 commits takes effect without an answer
    And b takes the job over and gets no answer from the store
    And b finishes its takeovers
    Then all results of the job are listed with whole texts of version 1

  # Guards against the same, with a write that takes effect after the instance
  # has looked for it.
  Scenario: a takeover that is stored late goes on
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is lost
    And each of the next 1 commits is lost before its effect
    And b takes the job over and gets no answer from the store
    And b finishes its takeovers
    And the lost commits take effect
    And the coordinator at c sweeps
    And b finishes its takeovers
    Then all results of the job are listed with whole texts of version 1

  # Guards against an unconfirmed takeover that takes the job from the instance
  # that has it by then.
  Scenario: an unconfirmed takeover leaves the job to its next holder
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is lost
    And each of the next 1 commits takes effect without an answer
    And b takes the job over and gets no answer from the store
    And c takes the job over
    And b finishes its takeovers
    Then only c runs the job
    And all results of the job are listed with whole texts of version 1

  # Guards against a new job that nobody runs, since its creation took effect
  # after its instance had given up on it.
  Scenario: a job that is created late runs
    Given all commits are lost before their effect
    When a is sent a job with 0.5 s to live
    Then it is refused with "outcome_unknown"
    When the lost commits take effect
    And the coordinator at b sweeps
    And a finishes its takeovers
    Then all results of the job are listed with whole texts of version 1

  # Guards against the same, with the job accepted when it is sent again.
  Scenario: a job that is created late and sent again runs
    Given all commits are lost before their effect
    When a is sent a job with 0.5 s to live
    And the lost commits take effect
    And a accepts the same job
    And a finishes its takeovers
    Then all results of the job are listed with whole texts of version 1

  # Guards against a job that nobody runs, since its thread has failed.
  Scenario: a job whose thread failed is taken up again
    When a accepts a job of 2 groups of 4 samples with 60 events
    And the thread of the job fails at a
    And the coordinator at b sweeps
    And a finishes its takeovers
    Then all results of the job are listed with whole texts of version 1

  # Guards against jobs that nobody runs, since another one can't be read.
  Scenario: a job that can't be taken over holds up no other
    When a accepts a job of 2 groups of 4 samples with 60 events
    And the store has a job of a without its contents
    And a is lost
    And the coordinator at b sweeps
    Then all results of the job are listed with whole texts of version 1

  Scenario Outline: only unfinished jobs of live instances are confirmed
    Given a stored job of "<holder>" in term "<term>" that is <state>
    Then "<confirmed>" is told that it holds the job

    Examples:
      | holder | term | state      | confirmed |
      | a      | 1    | unfinished | a         |
      | a      | 0    | unfinished |           |
      | lost   | 1    | unfinished |           |
      | a      | 1    | finished   |           |
