Feature: Batch jobs are kept, listed once and survive their holder

  Background:
    Given instances a, b and c before 2 engines of 8 places

  Scenario: results have fixed positions, whole texts and their versions
    When a accepts a job of 3 groups of 4 samples with 5 events
    Then all results of the job are listed with whole texts of version 1
    And every instance reads the same results from every position

  Scenario: a job that is sent again at another instance is accepted once
    When a accepts a job of 2 groups of 4 samples with 30 events
    And b accepts the same job
    Then only a holds the job
    And all results of the job are listed with whole texts of version 1

  Scenario: an answer lost at the acceptance is no second job
    Given the next 1 commits take effect without an answer
    When a accepts a job of 1 groups of 4 samples with 5 events
    Then only a holds the job

  Scenario: with the store out a job is refused and never runs
    Given the store is down
    When a is sent a job with 0.5 s to live
    Then it is refused with "store_unavailable"
    And no engine ran anything

  Scenario: an acceptance that may still take effect is no refusal
    Given all commits are lost before their effect
    When a is sent a job with 0.5 s to live
    Then it is refused with "outcome_unknown"
    When the lost commits take effect
    Then b reads that the job exists

  Scenario: a listing without an answer lists nothing twice
    When a accepts a job of 2 groups of 4 samples with 10 events
    And each of the next 4 commits takes effect without an answer
    Then all results of the job are listed with whole texts of version 1

  Scenario: a listing that was lost is written once, also if it comes late
    When a accepts a job of 2 groups of 4 samples with 10 events
    And each of the next 2 commits is lost before its effect
    Then all results of the job are listed with whole texts of version 1
    When the lost commits take effect
    Then every instance reads the same results from every position

  Scenario: another instance goes on with a lost one's job
    Given samples that are saved at once
    When a accepts a job of 2 groups of 4 samples with 120 events
    And results of the job are read while it runs for 0.35 s
    And a is lost and b takes the job over
    Then all results of the job are listed with whole texts of version 1
    And what was read before has kept its positions
    And samples went on from saved events

  Scenario: a holder that was replaced can't list anything
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is cut from the store and b takes the job over
    And a reaches the store again
    Then all results of the job are listed with whole texts of version 1
    And a holds the job no more

  Scenario: a planned stop hands over what was made
    When a accepts a job of 2 groups of 4 samples with 100 events
    And a stops after 0.2 s
    Then all results of the job are listed with whole texts of version 1
    And samples went on from saved events

  Scenario: an ended job runs no more, and ending it again is no error
    When a accepts a job of 2 groups of 4 samples with 500 events
    And b ends the job
    And c ends the job
    Then no engine is at work within 1.0 s

  Scenario: a job can be ended while its holder does not answer
    When a accepts a job of 2 groups of 4 samples with 500 events
    And a does not answer other instances
    And b ends the job
    Then no engine is at work within 2.5 s

  Scenario Outline: an engine that fails leaves samples to the other
    Given engine t0 has the fault "<fault>"
    When a accepts a job of 2 groups of 4 samples with 8 events
    Then all results of the job are listed with whole texts of version 1

    Examples:
      | fault       |
      | full        |
      | unreachable |
      | broken      |
      | silent      |
      | break       |

  Scenario Outline: samples that can't be made are listed as given up
    Given engine t0 has the fault "<status>"
    And engine t1 has the fault "<status>"
    When a accepts a job of 1 groups of 2 samples with 8 events
    Then all results of the job are listed as given up
    And each sample ran <runs> times

    Examples:
      | status | runs |
      | 500    | 3    |
      | 422    | 1    |

  Scenario: no sample is made by weights that are too old
    Given engine t0 serves version 2
    When a accepts a job of 2 groups of 4 samples with 8 events from version 2
    Then all results of the job are listed with whole texts of version 2
    And t1 ran nothing

  Scenario: samples leave an engine that is to load weights
    When a accepts a job of 2 groups of 4 samples with 200 events
    And b clears engine t0 for a load of m after 0.2 s
    Then t0 is not at work
    And all results of the job are listed with whole texts of version 1

  Scenario: samples of other models stay where a model is loaded
    When a accepts a job of 2 groups of 4 samples with 100 events
    And b clears engine t0 for a load of another after 0.2 s
    Then t0 is still at work
    And all results of the job are listed with whole texts of version 1
    And each sample ran 1 times

  Scenario: samples leave an engine that turns slow
    Given engine t0 makes events 40 times slower
    When a accepts a job of 2 groups of 4 samples with 100 events
    Then all results of the job are listed within 5 s

  Scenario: the end of a route ends its samples
    When a accepts a job of 4 groups of 8 samples with 100 events
    And its route is removed
    Then the results of the job are all listed, some as given up

  Scenario: a job and all its parts are deleted
    When a accepts a job of 1 groups of 2 samples with 5 events
    Then all results of the job are listed with whole texts of version 1
    When the job is deleted
    Then the store holds nothing of the job

  Scenario: holders know of one another's load
    When a accepts a job of 2 groups of 4 samples with 300 events
    And a and b tell each other their loads
    Then b counts the 8 samples of a as open elsewhere
    And that is forgotten after 1.0 s

  Scenario: a holder that answers keeps its jobs though its registration has ended
    When a accepts a job of 2 groups of 4 samples with 200 events
    And the registration of a ends while it lives
    And the coordinator at b sweeps
    Then only a holds the job

  Scenario: a holder that does not answer loses its jobs at the next sweep
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a is lost
    And the coordinator at b sweeps
    Then all results of the job are listed with whole texts of version 1

  Scenario: reading a job of another instance asks the store once
    When a accepts a job of 2 groups of 4 samples with 100 events
    And b reads results and bodies of the job 5 times
    Then b has read the store once

  Scenario: a holder that is known and gone is found anew
    When a accepts a job of 2 groups of 4 samples with 200 events
    And b reads results and bodies of the job 2 times
    And a is lost
    And the coordinator at c sweeps
    Then b reads the job from its new holder
    And all results of the job are listed with whole texts of version 1

  Scenario: a body is not given once its job has ended
    When a accepts a job of 2 groups of 4 samples with 200 events
    And b reads results and bodies of the job 2 times
    And c ends the job
    Then b finds no body of the job

  Scenario: instances that start together keep their own jobs
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a is lost, and no instance has seen it before
    And the coordinator at b sweeps
    Then no instance holds the job
    When a starts again and takes its jobs back
    And the coordinator at b sweeps
    Then only a holds the job
    And all results of the job are listed with whole texts of version 1

  Scenario: a job whose unseen holder does not come back goes to another
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a is lost, and no instance has seen it before
    And the coordinator at b sweeps
    And 1.05 s pass
    And the coordinator at b sweeps
    Then all results of the job are listed with whole texts of version 1

  Scenario: a takeover that fails halfway is finished once the store is back
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is lost
    And the store fails as soon as b has taken the job
    And b finishes its takeovers
    Then only b holds the job
    And all results of the job are listed with whole texts of version 1

  Scenario: takeovers of one job at the same time start it once
    When a accepts a job of 2 groups of 4 samples with 60 events
    And a is lost
    And b takes the job over 8 times at once from a store that takes 0.05 s
    Then b has started the job once
    And all results of the job are listed with whole texts of version 1

  Scenario: an instance that knows no route of a job does not take it over
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a is lost
    And b is asked to take the job over without a route
    Then no instance holds the job
    When its route is known
    And the coordinator at b sweeps
    Then all results of the job are listed with whole texts of version 1

  Scenario: an orphaned job goes past instances that are lost but still registered
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a is lost
    And c and 4 others are lost but still registered
    And the coordinator at b sweeps
    And the coordinator at b sweeps
    Then all results of the job are listed with whole texts of version 1
