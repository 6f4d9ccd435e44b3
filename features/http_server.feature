Feature: A server starts threads as requests need them

  Scenario Outline: as many threads as requests are open at once, up to a limit
    Given a server with at most 4 threads
    When <count> requests are open at once
    Then <threads> threads serve and all <count> requests are answered

    Examples:
      | count | threads |
      | 1     | 1       |
      | 3     | 3       |
      | 7     | 4       |

  Scenario: an idle thread serves the next request
    Given a server with at most 4 threads
    When 5 requests are sent one after the other
    Then 1 threads serve and all 5 requests are answered
