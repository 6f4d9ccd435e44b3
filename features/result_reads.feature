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

  Scenario: a silent holder leaves time to read the store
    Given 2 jobs of a that its link carries in 0.3 s
    And b and c know who holds them
    And a answers no calls, and b believes that the store is out of reach
    Then b reads all of them within 1 s

  Scenario: a holder that is still sending is not taken for a lost one
    Given 1 job of a that its link carries in 3 s
    And b and c know who holds them
    Then b reads all of them within 1.3 s
    And the holder is not suspected

  Scenario Outline: the order in which ended results are read
    When a holder <answers> and the store is <store>
    Then ended results are read from <order>

    Examples:
      | answers         | store        | order         |
      | answers         | reachable    | store, holder |
      | answers         | out of reach | holder, store |
      | does not answer | reachable    | store         |
      | does not answer | out of reach | store         |

  Scenario Outline: what a holder sends of a job
    When a reader asks for <size> bytes of a job that <state>, and the store is <store>
    Then the holder <does>

    Examples:
      | size   | state      | store        | does                |
      | 900000 | is open    | reachable    | sends them          |
      | 20000  | has ended  | reachable    | sends them          |
      | 900000 | has ended  | reachable    | refers to the store |
      | 900000 | has ended  | out of reach | sends them          |

  Scenario: an ended job that was deleted is not found
    Given 1 job of a that its link carries in 3 s
    When a ends them
    And two clients of each job read it at b and c, in attempts of 1.5 s
    And the jobs are deleted
    Then b finds none of them
