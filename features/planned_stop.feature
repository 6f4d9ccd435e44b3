@platform
Feature: A planned stop takes no request that it would cut off

  # Guards against requests that are taken late from kept connections, reach a
  # target and are cut without a response when the process ends.
  Scenario: requests that come late on kept connections are answered or refused
    Given calls take 2 s at their targets
    And 14 clients have used connections to edge-0
    When edge-0 is stopped, and each client sends one more call, 0.45 s apart
    Then each call that reached a target has got a complete response
    And each refused one says so at once, as not run
    And some of the calls were answered with success and some were refused
    And the process ended within 8 s by itself

  Scenario Outline: which requests a stopping instance takes
    Then with <left> s left, a limit of <limit> s and <seen> it is <taken>

    Examples:
      | left | limit | seen                    | taken   |
      | inf  | 10    | no earlier request      | taken   |
      | 6.8  | 2.5   | no earlier request      | taken   |
      | 6.8  | 10    | no earlier request      | refused |
      | 6.8  | 10    | requests of up to 4.5 s | taken   |
      | 6.7  | 10    | requests of up to 4.5 s | refused |
      | 0.3  | 10    | requests of up to 0.1 s | taken   |
      | 0.1  | 0.05  | requests of up to 0.1 s | refused |
      | -1   | 10    | requests of up to 0.1 s | refused |

  # Guards against requests that come late, run much longer than those before
  # them, and are cut with the process.
  Scenario Outline: which requests an instance takes late in its stop
    Then late, with <left> s left, a limit of <limit> s and <seen> it is <taken>

    Examples:
      | left | limit | seen                    | taken   |
      | 4.5  | 2.5   | no earlier request      | taken   |
      | 4.5  | 2.5   | requests of up to 0.1 s | taken   |
      | 4.5  | 10    | requests of up to 0.1 s | refused |
      | 0.1  | 0.05  | requests of up to 0.1 s | refused |

  Scenario: no stream that comes late is cut, however long it takes
    Given edge-0 runs
    And streams take 0.02 s at their targets
    And 14 clients have sent streams to edge-0
    And streams take 4.2 s at their targets
    When edge-0 is stopped, and each client sends one more call, 0.45 s apart
    Then each stream that came 2.6 s or later has got success or is not run

  Scenario: requests of 4.5 s that come evenly while the instance stops
    Then of requests of 4.5 s that come each 0.5 s, none that is taken outlasts the stop

  # Guards against a process that is still stopping when it is killed.
  Scenario: what is left of a stop at its deadline ends together
    Given 8 tasks that take 0.3 s to stop
    When they are stopped with a deadline in 0.5 s
    Then they have stopped after 0.5 to 1.2 s

  Scenario: a stopping instance gives a hand-over up at its deadline
    Given instances a, b and c before 2 engines of 8 places
    When a accepts a job of 2 groups of 4 samples with 200 events
    And a stops while other instances do not respond, with 0.4 s to hand over
    Then that took less than 1.0 s
