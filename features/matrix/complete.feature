Feature: The fault matrix is complete and its page up to date

  Scenario Outline: every cell of <path> has a test or a reason
    Then no cell of "<path>" lacks a test and a reason

    Examples:
      | path          |
      | live          |
      | rollout       |
      | weights       |
      | configuration |
      | stop          |

  Scenario: docs/FAULTS.md is up to date
    Then the page of faults is what the matrix renders
