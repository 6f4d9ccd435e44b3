Feature: Weights are rolled out in two phases by level-triggered orders

  Scenario Outline: <fault> during <phase>
    Given a roll-out over 3 regions with 5 engines each
    When "<fault>" strikes in phase "<phase>"
    Then every reachable engine serves the wanted version
    And at most <copies> copies come from the weight store
    And no engine serves a version that it was not staged with

    Examples:
      | fault                     | phase  | copies |
      | nothing                   | stage  | 3      |
      | an engine crashes         | stage  | 3      |
      | a seed crashes            | stage  | 4      |
      | an engine crashes         | switch | 3      |
      | a fetch fails             | stage  | 4      |
      | a switch fails            | switch | 3      |
      | a region is cut off       | stage  | 3      |
      | a region is cut off       | switch | 3      |
      | a newer version overtakes | stage  | 6      |
      | a newer version overtakes | switch | 6      |
      | an engine reverts         | switch | 3      |
      | status is lost            | stage  | 3      |
      | status is lost            | switch | 3      |

  Scenario: The second phase waits for engines of unknown status until its deadline
    Given a roll-out over 3 regions with 5 engines each
    When the status of one engine never arrives
    Then the second phase begins at the deadline and not before

  Scenario: Under any order of faults no old version replaces a newer one
    Then 200 random roll-outs end with the wanted version everywhere reachable
