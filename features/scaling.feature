Feature: The coordinator orders the engines that the peak of recent steps needs

  Scenario: capacity follows a step's peak, and its trough releases nothing
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 220 samples at the peak and 60 in the trough run for 60 s
    Then from 8 s on at least 33 engines were present
    And no order ever lowered a number
    And the cheapest two data centres have interruptible engines, and share them
    And there were at most 6 orders

  Scenario: a long trough releases engines one by one, the most expensive first
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 40 samples at the peak and 10 in the trough run for 160 s
    Then nothing was lowered in the first 20 s, and one engine in 5 s after that
    And the first lowered number was on-demand in a
    And 6 engines are left, at least 2 in each data centre

  Scenario: the peak counts for 12 s
    Given 2 on-demand engines in a, 2 in b and 2 in c, at most 16 in each
    When steps of 220 samples at the peak and 60 in the trough run for 2 s
    And the steps become 10 samples at the peak and 5 in the trough for 3 s
    Then 33 engines are needed
    When the steps become 10 samples at the peak and 5 in the trough for 12 s
    Then 2 engines are needed

  Scenario: two orders for a data centre are a second apart, and within the maximum
    Given 2 on-demand engines in a, 2 in b and 2 in c, at most 9 in each
    And 5 interruptible engines of a that are not wanted any more
    When 8 on-demand engines of a become wanted
    Then 4 are ordered, and no others before 1 s has passed

  Scenario: releases stop while the demand of a service is not all known
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    And the service also gets calls
    When steps of 40 samples at the peak and 10 in the trough run for 60 s
    Then no order ever lowered a number

  Scenario Outline: engines that left are ordered at once
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 150 samples at the peak and 60 in the trough run for 20 s
    And <event>
    And the steps go on for 10 s
    Then an order for <group> was sent within 1 s
    And <count> engines are present again after 8 s

    Examples:
      | event                                      | group       | count |
      | 3 on-demand engines of b are lost for good | on-demand b | 23    |
      | 7 on-demand engines of c are lost for good | on-demand c | 23    |

  Scenario: all interruptible engines of a data centre are taken away during a rolling replacement
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 220 samples at the peak and 60 in the trough run for 20 s
    And on-demand engines of a are replaced one by one from then on
    And all interruptible engines of b are taken away with 3 s of notice
    And the steps go on for 20 s
    Then at every time the engines served 0.7 of the peak
    And no interruptible engine of b was ordered for 8 s after that
    And 33 engines are present again after 10 s

  Scenario: on-demand engines are ordered while there are no interruptible ones
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    And there are no interruptible engines for 8 s
    When steps of 220 samples at the peak and 60 in the trough run for 20 s
    Then each kind that was refused was not ordered again for 8 s
    And from 9 s on at least 33 engines were present

  Scenario: an order without a response is repeated after 1 s, and adds no engines
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    And the first 2 orders get no response, but take effect
    When steps of 220 samples at the peak and 60 in the trough run for 20 s
    Then the first order was repeated 1 s later
    And 33 engines are present at the end

  Scenario: the next coordinator replaces engines that were lost under the last one
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 40 samples at the peak and 10 in the trough run for 15 s
    And 3 on-demand engines of b are lost for good
    And another instance takes over 3 s later
    And the steps go on for 10 s
    Then 23 engines are present at the end
    And no order ever lowered a number

  Scenario: a list that lacks engines by mistake changes nothing
    Given 8 on-demand engines in a, 8 in b and 7 in c, at most 16 in each
    When steps of 150 samples at the peak and 60 in the trough run for 20 s
    And the list lacks half of the engines for 6 s
    And the steps go on for 20 s
    Then no order ever lowered a number
    And 23 engines are present at the end

  Scenario Outline: whether the list may be used
    Then a list of <age> s, <back> s after an outage, is <is>

    Examples:
      | age | back | is       |
      | 1   | 60   | usable   |
      | 4   | 60   | unusable |
      | 1   | 3    | unusable |

  Scenario Outline: limits that are invalid
    When the scaling limits of a service are "<limits>"
    Then it is not scaled, and the error names "<value>"

    Examples:
      | limits                                       | value            |
      | min=9,max=8,boot_s=4,spot_price=.2,a=1       | 9 is above       |
      | min=1,max=8,boot_s=4,spot_price=.2           | zone_prices      |
      | min=1,max=8,boot_s=4,a=1                     | spot_price       |
      | min=-1,max=8,boot_s=4,spot_price=.2,a=1      | -1               |
      | min=1,max=8,boot_s=4,spot_price=.2,a=x       | 'x'              |
      | min=1,max=8,boot_s=4,spot_price=.2,a=1,zz=1  | 'zz'             |
      | min=1,max=8,boot_s=4,spot_price=.2,b=1       | centre 'a'       |

  Scenario Outline: orders are sent only by a coordinator with a current list
    Given an instance before 2 engines, which are to be 3 at least
    When <case>
    Then it sends <orders> orders

    Examples:
      | case                                  | orders |
      | it has a term                         | 1      |
      | it has no term                        | 0      |
      | its term allows orders only later     | 0      |
      | its term ends before the call         | 0      |
      | its list is old                       | 0      |
      | the store was out until a moment ago  | 0      |

  Scenario Outline: how the call of an order ends
    Given an instance before 2 engines, which are to be 3 at least
    When the platform answers an order with "<answer>"
    Then the order counts as <outcome>, and is due again after <s> s

    Examples:
      | answer       | outcome     | s |
      | accepted     | accepted    | 6 |
      | 409          | unavailable | 8 |
      | no response  | unknown     | 1 |
      | 429          | not_sent    | 1 |
      | 400          | rejected    | 8 |

  Scenario: the samples that wait reach the coordinator, also one of an earlier build
    Given a holder with 5 waiting samples and a coordinator
    When the holder exchanges its load
    Then the coordinator counts 5 waiting samples
    When nothing waits, or no service is scaled
    Then the message has 2 fields, as before
    When the coordinator is replaced by an earlier build
    Then the second exchange with it succeeds

  Scenario Outline: which samples move off an engine that leaves
    Then a sample of <events> events of 0.05 s, <left> s before the end, <moves>

    Examples:
      | events | left | moves |
      | 100    | 3.5  | stays |
      | 100    | 2.9  | moves |
      | 30     | 2.9  | stays |
      | 30     | 2.0  | moves |
      | 1      | 0.5  | moves |

  Scenario: a leaving engine's time is read from its entry, and is never extended
    When the entry of an interruptible engine says at 100 s that it leaves in 2500 ms
    Then the engine leaves at 102.5 s
    When the same entry is read at 101 s
    Then the engine leaves at 102.5 s

  Scenario: samples move off an engine that is taken away, with their events so far
    Given instances a, b and c before 2 engines of 8 places
    When a accepts a job of 1 groups of 12 samples with 150 events
    And engine t0 says after 0.2 s that it leaves in 1 s
    Then engine t0 runs no sample 0.3 s later
    And all results of the job are listed with whole texts of version 1
    And the samples of t0 went on elsewhere from their events
