@fleet
Feature: A live answer arrives whole over stalls, cuts and crashes

  Scenario Outline: <case>
    Given a streaming caller asks for 400 tokens with prompt "<case>"
    When its engine has the fault "<fault>" after 10 tokens
    Then its answer is whole and its own within 8 s
    And at most <attempts> attempts reached engines

    Examples:
      | case                               | fault       | attempts |
      | open streams go silent             | mute_open   | 1        |
      | all streams of an engine go silent | mute        | 2        |
      | the engine answers nothing         | silent      | 2        |
      | the engine process is killed       | kill        | 2        |
      | chunks of another request arrive   | wrong_id    | 2        |
      | a stream that was cut is resumed   | cut_open    | 1        |
      | new work is refused                | refuse      | 1        |

  Scenario Outline: A caller that hangs up cancels its work, <case>
    Given a streaming caller asks for 2000 tokens with prompt "<prompt>"
    When its engine has the fault "<fault>" after 10 tokens
    And the caller hangs up
    Then its engine has cancelled the request within 3 s

    Examples:
      | case                     | prompt    | fault     |
      | with a healthy engine    | hang up 1 | none      |
      | with silent open streams | hang up 2 | mute_open |
      | with all streams silent  | hang up 3 | mute      |

  Scenario: live stream, racing_operators
    Given a streaming caller asks for 400 tokens with prompt "racing operators"
    When two operators change the configuration at once after 10 tokens
    Then one change is in force and the other was refused
    And its answer is whole and its own within 8 s

  Scenario: live stream, paused_holder
    Given a streaming caller asks for 400 tokens with prompt "paused holder"
    When its instance is paused for 1.5 s after 10 tokens
    Then its answer is whole and its own within 8 s

  Scenario: live stream, process_death
    Given a streaming caller asks for 400 tokens with prompt "process death"
    When its instance is killed after 10 tokens
    Then its answer breaks off and does not look whole
    And the same request to another instance is answered whole
    And the instance serves again once it is restarted
