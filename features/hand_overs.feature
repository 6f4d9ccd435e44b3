Feature: A job's next holder continues with what the previous one knew

  Background:
    Given instances a, b and c before 2 engines and 2 scorers of 8 slots

  # Guards against results with the first part of an abandoned text, since the
  # store's longer text of it was taken for the complete one.
  Scenario Outline: a text that began anew is whole after <count> planned stops
    Given scorer s0 has the fault "unreachable"
    And scorer s1 has the fault "unreachable"
    When a accepts a scored job of 2 groups of 4 samples with 5 events
    And 0.4 s pass
    And the store has 9 events of each sample's earlier text
    And the holder of the job stops <count> times
    And all scorers are healthy again
    Then all results of the job have the stamps of their reward calls
    And each sample ran 1 times

    Examples:
      | count |
      | 1     |
      | 2     |

  # Guards against items that run more often than their route allows, since each
  # holder counts their errors anew.
  Scenario Outline: an item that engines answer with <status> is not run anew
    Given results that are not published
    And engines that answer each run with <status>
    When a accepts a job of 1 groups of 2 samples with 5 events
    And 0.6 s pass
    And the holder of the job stops 2 times
    And results are published again
    Then all results of the job are listed as given up
    And each sample ran <runs> times

    Examples:
      | status | runs |
      | 500    | 3    |
      | 422    | 1    |

  # Guards against the same while the errors are fewer than its route allows.
  Scenario: errors of a sample count after a planned stop
    Given the engines fail the next 2 runs of each sample
    When a accepts a job of 1 groups of 2 samples with 200 events
    And 0.3 s pass
    And the holder of the job stops 1 times
    And the engines fail the next 1 runs of each sample
    And the holder of the job stops 1 times
    Then all results of the job are listed as given up

  # Guards against the same after a kill, as far as its holder had saved them.
  Scenario: a takeover from the store counts what its last holder saved
    Given samples that are saved at once
    And results that are not published
    And engines that answer each run with 500
    When a accepts a job of 1 groups of 2 samples with 5 events
    And 0.6 s pass
    And a is lost and b takes the job over
    And results are published again
    Then all results of the job are listed as given up
    And each sample ran 3 times

  # Guards against the same where holders are killed soon after they took over,
  # before they have saved samples or published results.
  Scenario Outline: an item that engines answer with <status> keeps to its budget through kills
    Given results that are not published
    And engines that answer each run with <status>
    When a accepts a job of 1 groups of 2 samples with 5 events
    And the holder of the job is killed 3 times, each after 0.3 s
    And results are published again
    Then all results of the job are listed as given up
    And each sample ran at most <runs> times

    Examples:
      | status | runs |
      | 500    | 9    |
      | 422    | 3    |

  # Guards against a run whose error is forgotten with its holder, together with
  # the errors before it.
  Scenario: a failed sample waits until its error is on record
    Given a store that takes only heads of jobs
    And engines that answer each run with 500
    When a accepts a job of 1 groups of 2 samples with 5 events
    And 0.4 s pass
    Then each sample ran 1 times
    When the store takes all writes again
    Then all results of the job are listed as given up
    And each sample ran 3 times

  # Guards against a record that is joined from those of two texts.
  Scenario Outline: of two records of a sample the newer one is taken whole
    Given a stored record of <stored> events of text <old>, <stored_end>
    And a sent record of <sent> events of text <new>, <sent_end>
    Then the <taken> record is taken as it is

    Examples: a text that began anew replaces the earlier one, however long
      | stored | old | stored_end      | sent | new | sent_end        | taken  |
      | 9      | 0   | incomplete      | 3    | 1   | incomplete      | sent   |
      | 9      | 0   | incomplete      | 5    | 1   | complete        | sent   |
      | 9      | 0   | incomplete      | 0    | 1   | incomplete      | sent   |
      | 9      | 1   | incomplete      | 12   | 0   | incomplete      | stored |

    Examples: of one text the record that goes further is newer
      | stored | old | stored_end      | sent | new | sent_end        | taken  |
      | 9      | 0   | incomplete      | 12   | 0   | incomplete      | sent   |
      | 12     | 0   | incomplete      | 9    | 0   | incomplete      | stored |
      | 9      | 0   | complete        | 9    | 0   | incomplete      | stored |
      | 9      | 0   | complete        | 9    | 0   | with a score    | sent   |
      | 9      | 0   | with a score    | 9    | 0   | complete        | stored |

    Examples: a sample that was given up is finished
      | stored | old | stored_end      | sent | new | sent_end        | taken  |
      | 9      | 1   | incomplete      | 0    | 0   | given up        | sent   |
      | 0      | 0   | given up        | 9    | 1   | incomplete      | stored |

    Examples: builds that don't count beginnings send text 0
      | stored | old | stored_end      | sent | new | sent_end        | taken  |
      | 9      | 0   | incomplete      | 5    | 0   | complete        | sent   |

  Scenario: errors of an earlier text stay
    Given a stored record of 9 events of text 0, with 2 errors
    And a sent record of 3 events of text 1, with 1 errors
    Then the sent record is taken with 2 errors

  # Guards against a hand-over that fails beside instances of an earlier build.
  Scenario: a build that does not know the newer call takes the job over
    Given instances that know only the earlier call to take a job over
    When a accepts a job of 2 groups of 4 samples with 100 events
    And a stops after 0.2 s
    Then all results of the job are listed with whole texts of version 1
    And samples went on from saved events

  Scenario: what is saved of samples is read back as it was
    Given samples in each state that a holder may save
    Then they are the same when they are read from the store
    And a build that does not know all parts reads their events and scores
    And parts that such a build left in the store are not used
