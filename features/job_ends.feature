Feature: A job that its trainer ended has ended, whoever holds it by then

  Background:
    Given instances a, b and c before 2 engines of 8 places

  # Guards against an end that is acknowledged while the job goes on elsewhere.
  Scenario: an end at an instance that has handed the job over ends it
    When a accepts a job of 2 groups of 4 samples with 500 events
    And a hands its jobs over and is still there
    And a ends the job
    Then the store says that the job has ended
    And no engine is at work within 1.0 s

  # Guards against the same, with the end sent on by an instance that has read
  # the job from its earlier holder.
  Scenario: an end that goes to the earlier holder ends the job
    When a accepts a job of 2 groups of 4 samples with 500 events
    And b and c have read the job from a
    And a hands its jobs over and is still there
    And the one that did not take the job over ends it
    Then the store says that the job has ended
    And no engine is at work within 1.0 s

  # Guards against an end that is acknowledged, though another change of the
  # job or a lost answer came between its read and its write.
  Scenario: no change during an end undoes it
    Then after each acknowledged end the store says so, whatever came between

  # Guards against a job that nobody runs, since an instance that lost it says
  # that it has it.
  Scenario: an instance that has lost a job to another one takes it back
    When a accepts a job of 2 groups of 4 samples with 200 events
    And b takes the job over and a learns of it
    And b is lost
    And the coordinator at a sweeps
    Then all results of the job are listed with whole texts of version 1

  # Guards against an end that stops the job at its holder, and is forgotten
  # there when the store does not confirm it.
  Scenario: an end that the store did not confirm is finished later
    When a accepts a job of 2 groups of 4 samples with 500 events
    And an end from b meets a store that is down
    And the store is back and a finishes its ends
    Then the store says that the job has ended
    And no engine is at work within 1.0 s

  # Guards against an instance that refuses all further jobs, since it keeps the
  # items of those that have ended.
  Scenario: ended jobs leave room for further ones
    Given an instance whose memory is taken by one job
    When a job ends there before the next one comes, 4 times
    Then it holds the last job
    And the results of the first job can be read there
