Feature: Complete samples are scored by calls to the operators' routes

  Background:
    Given instances a, b and c before 2 engines and 2 scorers of 8 slots

  Scenario: a score is the stamp of the sample's own reward call
    When a accepts a scored job of 3 groups of 4 samples with 5 events
    Then all results of the job have the stamps of their reward calls
    And each reward call was sent 1 time, after the sample's last event
    And every instance reads the same results from every position

  Scenario Outline: a scorer that fails leaves samples to the other
    Given scorer s0 has the fault "<fault>"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

    Examples:
      | fault       |
      | full        |
      | unreachable |
      | broken      |
      | silent      |
      | 500         |

  Scenario Outline: a sample that no scorer can score is given up
    Given scorer s0 has the fault "500"
    And scorer s1 has the fault "500"
    And reward calls may be sent to <route> targets
    When a accepts a scored job of 1 groups of 2 samples with 5 events
    Then all results of the job are listed as given up
    And each reward call was answered with <errors> errors

    Examples: the larger of the limits of the job's route, 3, and its own
      | route | errors |
      | 4     | 4      |
      | 2     | 4      |

  Scenario Outline: a scoring service that is away for a while costs no text
    Given scorer s0 has the fault "<fault>"
    And scorer s1 has the fault "<fault>"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And 0.6 s pass
    Then no result of the job is listed
    When all scorers are healthy again
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

    Examples:
      | fault       |
      | full        |
      | unreachable |
      | silent      |

  Scenario: a job whose holder is lost between text and score is scored by the next
    Given samples that are saved at once
    And scorer s0 has the fault "unreachable"
    And scorer s1 has the fault "unreachable"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And 0.6 s pass
    And a is lost and b takes the job over
    And all scorers are healthy again
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

  Scenario: a planned stop hands over texts and scores
    Given scorer s0 has the fault "unreachable"
    And scorer s1 has the fault "unreachable"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And a stops after 0.4 s
    And all scorers are healthy again
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

  Scenario: an obtained score is not fetched again by the next holder
    Given samples that are saved at once
    And results that are not published
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And 0.6 s pass
    And a is lost and b takes the job over
    And results are published again
    Then all results of the job have the stamps of their reward calls
    And each reward call was sent 1 time, after the sample's last event

  Scenario: an ended job sends no more reward calls
    Given scorer s0 has the fault "full"
    And scorer s1 has the fault "full"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And 0.3 s pass
    And b ends the job
    And all scorers are healthy again
    Then no reward call is sent within 0.5 s

  Scenario: reward calls follow a change of their route at once
    Given reward calls have no route
    When a accepts a scored job of 1 groups of 2 samples with 5 events
    And 0.3 s pass
    Then no result of the job is listed
    When reward calls have a route again
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

  Scenario: samples that find the queue full are scored later
    Given the queue of samples to score has room for 3
    When a accepts a scored job of 4 groups of 4 samples with 5 events
    Then all results of the job have the stamps of their reward calls

  Scenario: what is stored without scores can be read by builds without them
    Then unscored items and results are stored without the newer fields
    And scored items and results are read back as they were
