Feature: Plays are compared in pairs and losses add up

  Scenario Outline: a difference is told from chance by its standard error
    Given the worths <before> before and <after> after
    Then the mean difference is <mean> with a standard error of <error>
    And the difference is <clear>

    Examples:
      | before          | after           | mean | error  | clear |
      | 0.5 0.6 0.7 0.8 | 0.6 0.7 0.8 0.9 | 0.1  | 0.0    | clear |
      | 0.5 0.6 0.7 0.8 | 0.4 0.8 0.6 1.0 | 0.05 | 0.0866 | not   |
      | 0.5             | 0.9             | 0.4  | inf    | not   |

  Scenario: pairs that don't match are refused
    Then the worths 0.5 0.6 before and 0.5 after can't be compared

  Scenario: a play is read from the bench's journal, and its losses sum up
    Given a bench whose journal entry has a worth of 0.7
    When the day is played
    Then the losses of the play sum up to 0.3
    And the table of losses ends with what is missing

  Scenario: a play without figures is an error
    Given a bench that leaves an entry without days
    Then playing the day fails with "no figures"
