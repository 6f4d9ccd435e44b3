Feature: What the worth of a play was lost by is read from its log

  Scenario: a late step is followed through its last required group
    Given a log of a job of 3 groups, of which the trainer waits for 2
    And item a-0 of group a ran from 1.0 to 2.0 and was scored at 2.1
    And item b-0 of group b ran from 1.0 to 2.0 and was moved
    And item b-0 of group b ran from 4.0 to 6.0 and was scored at 6.5
    And item c-0 of group c ran from 1.0 to 9.0 and was scored at 9.5
    And 1 groups were published at 2.2
    And 2 groups were published at 9.0
    Then the step lost 2.0 s of "slot" and 0.5 s of "scoring" until 12.0
    And the step lost 2.5 s of "publication" and 2.0 s of "run" until 12.0

  Scenario: a wait while the holder was lost is told apart
    Given a log of a job of 1 groups, of which the trainer waits for 1
    And item a-0 of group a ran from 1.0 to 2.0 and was moved
    And the job was taken over at 5.0
    And item a-0 of group a ran from 5.5 to 6.0 and was scored at 6.1
    And 1 groups were published at 6.2
    Then the step lost 3.0 s of "holder lost" and 0.5 s of "slot" until 12.0

  Scenario: a step without runs waited for its first run
    Given a log of a job of 1 groups, of which the trainer waits for 1
    Then the step lost 12.0 s of "no run" and 0.0 s of "run" until 12.0

  Scenario: the table of causes adds up to what is missing
    Given a log of a job of 3 groups, of which the trainer waits for 2
    And item a-0 of group a ran from 1.0 to 2.0 and was scored at 2.1
    And item b-0 of group b ran from 6.0 to 9.0 and was scored at 9.1
    And 1 groups were published at 2.2
    And 2 groups were published at 9.2
    And a report with a worth of 0.8, of which 0.05 are prices
    Then the table of causes sums up to 0.2
    And its largest cause is "steps: slot"
