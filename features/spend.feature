Feature: Spend stays within what was declared

  Scenario Outline: the ledger grants <asked> tokens of <left> left
    Given a ledger with a budget of 100 tokens of which <left> are left
    When an instance asks it for <asked> tokens
    Then it is granted <granted> tokens

    Examples:
      | left | asked | granted |
      | 100  | 10    | 10      |
      | 100  | 100   | 100     |
      | 5    | 10    | 5       |
      | 0    | 1     | 0       |

  Scenario Outline: a closed account with <spent> of 40 spent leaves <left>
    Given a ledger with a budget of 100 tokens of which 100 are left
    When an instance is granted 40 tokens and closes its account with <spent> spent, <times> times
    Then the ledger has <left> tokens left

    Examples:
      | spent | times | left |
      | 0     | 1     | 100  |
      | 15    | 1     | 85   |
      | 15    | 3     | 85   |
      | 40    | 1     | 60   |

  Scenario: a lost instance's grant counts as spent
    Given a ledger with a budget of 100 tokens of which 100 are left
    When an instance is granted 40 tokens and is lost
    Then the ledger has 60 tokens left

  Scenario: no order of crashes, partitions, lost answers and hours overspends
    Then 200 seeded runs of 60 steps on 4 instances never overspend

  Scenario: an hour's partition: a cut off instance spends its grant, no more
    Given 2 instances of one site with a budget of 640 tokens an hour
    When instance 1 is cut off from the store for an hour and both spend 20 tokens at a time
    Then the spent tokens of each period are at most 640
    And instance 1 spent at least 20 while it was cut off
    And a refusal tells "spend_exhausted" and ran "no"

  Scenario: a lost answer to a grant is found again
    Given 1 instance of one site with a budget of 640 tokens an hour
    When the store loses the answer to its first grant
    Then it spends 640 tokens in all, and no more

  Scenario: work that outlasts its period goes on, paid in both
    Given an instance of one site with a budget of 64 engine seconds an hour
    When work that reserved 10 engine seconds goes on for 40, into the next hour
    Then it is not stopped, and both hours together pay 40 engine seconds
