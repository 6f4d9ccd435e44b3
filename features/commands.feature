@fleet
Feature: The operators' tool

  Scenario Outline: <command> ends with code <code> and shows "<text>"
    When an operator runs "<command>"
    Then the command ends with code <code> and shows "<text>"

    Examples:
      | command                                   | code | text                       |
      | config check examples/canjea              | 0    | The configuration is valid |
      | config check examples/kuopio              | 0    | The configuration is valid |
      | config check examples/none                | 1    | base.yaml                  |
      | config render examples/canjea             | 0    | "tasador-cba-a-1"          |
      | config show                               | 0    | "revision"                 |
      | config diff examples/canjea               | 0    | 10.1.1.11:8000             |
      | config status                             | 0    | 2 of 2 hold it             |
      | config apply examples/canjea --seen=99    | 1    | config_conflict            |
      | status                                    | 0    | cba-b-1                    |
      | status --json                             | 0    | "state": "ready"           |
      | targets                                   | 0    | tasador-cba-a-1            |
      | drain tasador-cba-a-1                     | 0    | is draining                |
      | undrain tasador-cba-a-1                   | 0    | takes work                 |
      | drain none                                | 1    | not_found                  |
      | duties                                    | 0    | fencing number             |
      | doctor                                    | 0    | store reachable            |
      | doctor --json                             | 0    | "passed": true             |
      | explain none                              | 1    | not_found                  |
      | report burn                               | 0    | live-answers               |
      | report spend                              | 0    | ar-centro                  |
      | report staleness                          | 0    | appraiser                  |
      | report idle                               | 0    | appraiser                  |
      | report burn --json                        | 0    | "budget_left"              |
      | report burn --format=html                 | 0    | <svg                       |
      | report none                               | 1    | known: burn                |
      | nonsense                                  | 2    | nonsense                   |

  Scenario: an operator without a token file is told so
    When an operator without a token file runs "status"
    Then the command ends with code 1 and shows "HIBISCUSPIN_ADMIN_TOKEN_FILE is not set"

  Scenario: a request is explained from any instance
    Given a completion with request id "1234" through instance 2
    When an operator runs "explain 1234"
    Then the command ends with code 0 and shows "cba-b-1"

  Scenario: a change is waited for
    Given the fleet's own configuration in a folder
    When an operator runs "config apply <folder> --wait"
    Then the command ends with code 0 and shows "2 of 2 hold it"

  Scenario: the history names earlier revisions, and one is rolled back to
    Given a change that an operator regrets
    When an operator runs "config history"
    Then the command ends with code 0 and shows "fleet"
    When an operator rolls back to the revision before it
    Then the command ends with code 0 and shows "2 of 2 hold it"
    And the configuration before the change is in force

  Scenario: an unknown revision can't be rolled back to
    When an operator runs "config rollback 999999"
    Then the command ends with code 1 and shows "not_found"

  Scenario: an instance that doesn't answer is unhealthy
    Given instance 2 is paused
    When an operator runs "status"
    Then the command ends with code 3 and shows "unreachable"
