@platform
Feature: Jobs of organisations beside instances of earlier builds, with processes

  # Guards against a job that an instance from before organisations can't
  # decode, and whose organisation it would drop from the job's head.
  Scenario: jobs of organisations wait until the last instance from before them is gone
    Given edge-0 runs the working tree and edge-1 runs commit e719629
    And the key "k1" of "x" is in force at edge-0
    Then a job of "k1" is refused by edge-0 as not run, with a time to retry
    When edge-1 is stopped while edge-0 serves calls
    And edge-1 starts again from the working tree
    Then a job of "k1" is accepted by edge-0 within 3 s

  # Guards against refusals for as long as an upgrade takes: the last landing
  # announces nothing but reads these jobs.
  Scenario: an instance of the last landing takes a job of an organisation over
    Given edge-0 runs the working tree and edge-1 runs commit 7d34c2e
    And the key "k1" of "x" is in force at edge-0
    When job "org-1" begins at edge-0, and is read through edge-1
    And edge-0 is stopped while edge-1 serves calls
    Then edge-0 has handed the job over to edge-1, which has the coordinator's duty
    And every result is listed once at edge-1, where it was read before
    When the key is "k2" of "y"
    Then the job is not found at edge-1

  # Guards against a handover to an older build, which can't decode the job, and
  # against a refusal of a job that was accepted before.
  Scenario: after a rollback an accepted job stays with the instances that read it
    Given edge-0 runs the working tree and edge-1 runs the working tree
    And the key "k1" of "x" is in force at edge-0
    When a job "org-2" of "k1" begins at edge-0
    And edge-1 is replaced by an instance of commit e719629
    Then the job "org-2" is accepted again by edge-0
    And a job of "k1" is refused by edge-0 as not run, with a time to retry
    When edge-0 is stopped while edge-1 serves calls
    Then edge-0 has offered the job to no instance
    When edge-0 starts again from the working tree
    Then every result is listed once at edge-0, where it was read before
