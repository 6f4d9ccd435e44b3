Feature: Results are read within the time that clients wait

  Scenario: ended jobs are read though the link of their holder is full
    Given 8 jobs of a that its link carries in 6 s
    When a ends them
    And two clients of each job read it at b and c, in attempts of 1.5 s
    Then each client has read all results within 3 s

  Scenario: a holder sends no reader all results of an ended job
    Given 2 jobs of a that its link carries in 6 s
    And b and c know who holds them
    When a ends them
    And two clients of each job read it at b and c, in attempts of 1.5 s
    Then each client has read all results within 3 s
    And the link of a has carried less than a tenth of the results

  Scenario: with the store out ended jobs are read from their holder
    Given 2 jobs of a that its link carries in 0.3 s
    And b and c know who holds them
    When a ends them
    And the store is out
    And two clients of each job read it at b and c, in attempts of 1.5 s
    Then each client has read all results within 3 s

  Scenario: a transfer between instances ends when its client leaves
    Given 1 job of a that its link carries in 3 s
    When its client leaves 0.2 s after it began to read at b
    Then the read ends within 0.5 s, and the link of a carries little more
