Feature: Decisions on steps against plain ones

  A model of engines and a trainer plays the product's decisions and plain
  ones with the same lengths, hints and speeds: samples first come first
  served, engines in turn, weights loaded as soon as they are named.

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
