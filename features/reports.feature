@fleet
Feature: Reports agree with the stand-ins' own records

  Background: some work has been done once
    Given 12 completions, 2 service calls and a step of 8 samples through the fleet

  Scenario: spend agrees with the engines' records
    When the "spend" report is read
    Then its tokens equal the tokens in the engines' records
    And its tokens are attributed to teams "counters" and "appraisal" and trainer "appraiser"
    And its engine seconds cover the time that the engines took for its tokens
    And it names no site beyond its budget

  Scenario: burn counts each request once
    When the "burn" report is read
    Then level "live-answers" counts 12 requests and "service-answers" 2
    And level "samples-in-time" counts 8 requests

  Scenario: staleness and idle time cover the trainer
    When the "staleness" report is read
    Then trainer "appraiser" has 8 samples of which none is over the bound
    When the "idle" report is read
    Then trainer "appraiser" waited no longer than its own clock tells

  Scenario: failures burn the budget and are named
    Given all replicas of service "cotizador" fail
    When a caller calls service "cotizador" 3 times
    And the "burn" report is read
    Then level "service-answers" has its budget used up by team "counters"

  Scenario: a request beyond the budget is refused and not run
    Given a budget of 100 tokens for each site
    When a caller sends POST /v1/completions with token "counters-token", header "" and body {"model": "tasador-lm", "prompt": "costly", "max_tokens": 2000}
    Then the answer is 429 with code "spend_exhausted" and ran "no"
    And no engine has run another request
