Feature: Requests of each organisation are counted once, in their window

  Scenario Outline: a request counts in the window in which its first run began
    Given a target whose last responses took 0.1 s, over a link of 0.02 s
    When a request has the attempts "<attempts>"
    Then its run began at <began>

    Examples: TARGET SENT RESULT TIME, in seconds
      | attempts                                 | began   |
      | a 0.0 answered 0.1                       | 0.01    |
      | a 0.0 answered 0.4                       | 0.31    |
      | a 0.0 refused 0.01, b 0.5 answered 0.6   | 0.51    |
      | a 0.0 unsent 0.01, b 0.5 answered 0.6    | 0.51    |
      | a 0.0 lost 0.2, b 0.5 answered 0.6       | 0.01    |
      | a 0.0 running 0.0, b 0.3 answered 0.4    | 0.01    |
      | a 0.0 running 0.0                        | 0.01    |
      | a 0.0 refused 0.01                       | never   |

  Scenario: a request that runs for long is recorded before its response
    Given a target whose last responses took 0.1 s, over a link of 0.02 s
    When a request has run for 1.6 s
    Then it is recorded as begun at 0.01

  Scenario Outline: true time does not follow a wall clock that steps
    Given a wall clock that has the right time
    When it <steps> for 60 s
    Then true time is off by at most <most> s

    Examples:
      | steps                  | most  |
      | steps 3 s ahead        | 0.0   |
      | steps 2 s back         | 0.0   |
      | drifts by 0.05 s ahead | 0.051 |

  Scenario: an instance that starts with a wrong wall clock takes the others' time
    Then of the offsets 7 by its own clock and 2 and 2.001 by others 2.001 is chosen
    And of the offsets 7 by its own clock and 2 by others 2 is chosen

  Scenario: only requests of callers count
    Then a call of an organisation counts for it
    And a reward call and a relayed call count for nobody

  Scenario: forwarded calls and streams are recorded once
    Given a forwarder and a stream forwarder that record usage
    When they forward a call and a stream of "o", one of nobody and one that all targets refuse
    Then one call and one stream of "o" are recorded

  Scenario: reports stay exact through kills, freezes, lost answers, outages and clock steps
    Then the rules on holders hold in random histories
    And a quiet history reports every window with its true counts

  Scenario: counts of a window that ended in an outage include what others know
    Then requests before and in an outage of 7 s are reported, whoever counts
