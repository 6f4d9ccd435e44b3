Feature: Decisions on steps against plain ones

  A simulation of engines and a trainer runs with the product's decision
  functions and with simpler ones, on the same lengths, hints and engine
  speeds. The simpler ones start samples in the order of their job, take
  engines in turn and load weights as soon as a version is named.

  Scenario Outline: a trainer is kept on time better than by plain decisions
    Given a trainer of <groups> groups before <engines> engines of <slots> places
    And an engine that is slow <slow>
    When 3 days are played with the product's decisions and with <plain>
    Then with the product's the trainer is at least <less> s less behind
    And as many groups or more are in time

    Examples:
      | groups | engines | slots | slow          | plain           | less |
      | 17     | 5       | 16    | never         | first come      | 1.0  |
      | 17     | 4       | 16    | never         | first come      | 1.0  |
      | 17     | 4       | 16    | never         | load at once    | 1.0  |
      | 17     | 3       | 16    | never         | load at once    | 1.0  |
      | 17     | 5       | 16    | from 9 to 17  | engines in turn | 0.3  |
      | 17     | 5       | 16    | from 9 to 17  | load at once    | 1.0  |
      | 15     | 6       | 12    | never         | all plain       | 1.0  |
