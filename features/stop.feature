@fleet
Feature: A planned stop of an instance cuts off no request

  Scenario: Keep-alive callers and open streams meet a stopping instance
    Given 8 callers that go on sending over kept connections
    And 6 callers that read streams of 200 tokens one after another
    And 2 callers that open a new connection for each request
    When "cba-a-1" is stopped as planned after 1.5 s
    Then it ends with exit code 0 within 20 s
    And no request was cut or refused, and 100 or more were answered

  Scenario: A call that may not be repeated outlives the stop
    Given the replicas answer after 2 s
    When offer "s1" is under way through "cba-b-1" as it is stopped
    Then offer "s1" is answered and its outcome is in the store
