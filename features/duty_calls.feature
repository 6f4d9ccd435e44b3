Feature: Calls that only the coordinator makes

  Background:
    Given the platform's control address

  Scenario: calls carry the holder, its fencing number and the documented body
    When holder "a" with number 7 reports window 5 with 2 requests of "o"
    And it orders 6 engines, and then 2 interruptible ones
    Then the address has received
      | path   | holder | fencing | body                                                                    |
      | /usage | a      | 7       | {"window_id": 5, "counts": {"o": 2}}                                    |
      | /scale | a      | 7       | {"service": "llm", "zone": "dc", "group_count": 6}                      |
      | /scale | a      | 7       | {"service": "llm", "zone": "dc", "group_count": 2, "spot": true}        |
    And one connection was used

  Scenario Outline: each response says whether the call may be repeated
    When the address answers with status <status>
    And holder "a" with number 7 reports window 5 with 2 requests of "o"
    Then the call fails with applied <applied> and final <final>, as <outcome>

    Examples:
      | status | applied | final | outcome  |
      | 400    | False   | True  | rejected |
      | 403    | False   | True  | rejected |
      | 408    | None    | False | failed   |
      | 429    | False   | False | too_many |
      | 500    | None    | False | failed   |
      | 503    | None    | False | failed   |

  Scenario: an order for engines that are not to be had is no error
    When the address has no engines
    Then an order for 6 engines is unavailable

  Scenario: a response that was lost leaves open whether the call took effect
    When the address loses its next response
    And holder "a" with number 7 reports window 5 with 2 requests of "o"
    Then the call fails with applied None and final False, as no_response
    And it took from 1.4 s to 2 s

  Scenario: a term that ends while the connection is made lets nothing be sent
    When the term ends
    And holder "a" with number 7 reports window 5 with 2 requests of "o"
    Then the call fails with applied False and final False, as term_over
    And the address has received nothing

  Scenario: bytes that were not acknowledged are dropped and not sent later
    When holder "a" with number 7 reports window 5 with 2 requests of "o"
    Then the connection drops unacknowledged bytes after 1.5 s and on a close

  Scenario: calls beyond the address's rate are refused without effect
    When holder "a" with number 7 reports window 5 60 times in a row
    Then 50 calls were accepted and 10 refused
