@fleet
Feature: A repeatable call is answered in time over a failing replica

  Scenario Outline: <case>
    Given replica "cotizador-cba-a-1" has the service fault "<fault>"
    When 6 quotes are asked for, one after the other
    Then all 6 quotes are their caller's own, each within <seconds> s

    Examples:
      | case                                | fault   | seconds |
      | a healthy replica                   | none    | 1.0     |
      | a slow replica is hedged            | slow    | 1.5     |
      | a silent replica is hedged          | silent  | 1.5     |
      | a replica that refuses is left      | refuse  | 1.5     |
      | a replica whose process has stopped | killed  | 1.5     |

  Scenario: two callers with one request id get their own answers
    When two callers stream 200 tokens at once with the same X-Request-Id
    Then both have their own whole answer

  Scenario: a deadline that can't be met is refused at once and not run
    When a caller asks for 2000 tokens within 30 ms
    Then it is refused within 0.5 s as "deadline_unreachable", to come back
    And no engine has run it
