@fleet
Feature: Calls that may not be repeated run at most once, through real processes

  Scenario: The outcome is replayed to the same key in another data centre
    When a seller sends offer "o1" with key "k1" through "cba-a-1"
    And a seller sends offer "o1" with key "k1" through "cba-b-1", and repeats it as told after key_in_progress
    Then both answers are the same and offer "o1" ran 1 time

  Scenario: Another body under the same key is refused
    When a seller sends offer "o2" with key "k2" through "cba-a-1"
    And a seller sends offer "o3" with key "k2" through "cba-b-1"
    Then the last answer is 422 with code "key_reused"
    And offer "o3" ran 0 times

  Scenario: The same key at one moment through two data centres runs once
    When 20 keys are sent at one moment through "cba-a-1" and "cba-b-1"
    Then each of the 20 offers ran 1 time

  Scenario: With the store out the call is refused with a true "not run"
    Given the store is out
    When a seller sends offer "o4" with key "k4" through "cba-a-1"
    Then the last answer is 503 with code "store_unavailable"
    And offer "o4" ran 0 times
    When the store is back
    And a seller sends offer "o4" with key "k4" through "cba-b-1", and repeats it as told after store_unavailable
    Then offer "o4" ran 1 time

  Scenario: A lost answer of the store does not run or refuse a key wrongly
    Given the store loses its next 1 answers to writes
    When a seller sends offer "o5" with key "k5" through "cba-a-1"
    Then offer "o5" ran 1 time

  Scenario: A call whose answer is lost is not sent again
    Given the replicas lose their next answer
    When a seller sends offer "o6" with key "k6" through "cba-a-1"
    Then the last answer is 502 with code "outcome_unknown"
    When a seller sends offer "o6" with key "k6" through "cba-b-1"
    Then the last answer is 502 with code "outcome_unknown"
    And offer "o6" ran 1 time

  Scenario: A replica's refusal frees the key
    Given the replicas refuse all calls
    When a seller sends offer "o7" with key "k7" through "cba-a-1"
    Then the last answer is 503 with code "no_target"
    When the replicas take calls again
    And a seller sends offer "o7" with key "k7" through "cba-b-1"
    Then offer "o7" ran 1 time

  Scenario: A holder paused between claim and answer does not run a key again
    Given the replicas answer after 1 s
    When a seller sends offer "o8" with key "k8" through "cba-a-1", which is paused for 6 s
    And a seller sends offer "o8" with key "k8" through "cba-b-1"
    Then offer "o8" ran at most 1 time

  Scenario: A killed holder's key is not run again
    Given the replicas answer after 1 s
    When a seller sends offer "o9" with key "k9" through "cba-a-1", which is killed
    And a seller sends offer "o9" with key "k9" through "cba-b-1"
    Then offer "o9" ran at most 1 time
