Feature: Routing chooses among candidates and bounds what an instance knows

  Scenario Outline: expected finish: <case>
    Given routing candidates a with <a> and b with <b>
    When expected_finish places a request of <tokens> tokens
    Then the router takes <taken>

    Examples:
      | case                                  | a                                | b                           | tokens | taken |
      | the shorter queue                     | in_flight=12                     | in_flight=9                 | 50     | b     |
      | load of other instances counts        | others=12                        | in_flight=9                 | 50     | b     |
      | a slow engine with free slots loses   | token_s=0.1                      | in_flight=7                 | 50     | b     |
      | a slow engine beats a very long queue | token_s=0.1                      | in_flight=80                | 50     | a     |
      | a cached prompt wins at equal load    | first_token_s=0.5                | first_token_s=0.5,prefix_cached=1 | 50 | b     |
      | a cached prompt loses to a long queue | first_token_s=0.1                | prefix_cached=1,in_flight=16 | 50     | a     |
      | own region before the priced link     | link_s=0.27                      | in_flight=7                 | 50     | b     |
      | the priced link before a long queue   | link_s=0.27                      | in_flight=24                | 50     | a     |
      | equal targets share the load          | in_flight=3                      | in_flight=2                 | 50     | b     |

  Scenario Outline: baseline <router>
    When <router> places 600 requests on 3 equal routing candidates
    Then each candidate got between <least> and <most>

    Examples:
      | router          | least | most |
      | round_robin     | 200   | 200  |
      | random          | 140   | 260  |
      | least_in_flight | 200   | 200  |
      | two_choices     | 195   | 205  |
      | expected_finish | 200   | 200  |

  Scenario Outline: subsets of <engines> engines in each of <centres> data centres
    Given <instances> instances choose routing subsets
    Then each knows at most 28 targets, 4 of them elsewhere
    And every local engine is known to between <least> and <most> instances

    Examples:
      | engines | centres | instances | least | most |
      | 2       | 3       | 2         | 2     | 2    |
      | 306     | 3       | 410       | 16    | 52   |

  Scenario: a subset barely changes when one engine leaves
    Given 41 instances choose routing subsets
    When one of 306 engines leaves
    Then each instance replaced at most one target
