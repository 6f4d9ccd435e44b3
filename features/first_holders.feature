Feature: The steps of a model go to one instance of the data centre

  Background:
    Given instances a, b and c before 2 engines of 8 places

  Scenario: steps that arrive at different instances have one holder
    When a, b and c are sent steps of one model in turn
    Then the preferred instance holds all 3 steps
    And each instance reads the results of each step

  Scenario: a step whose preferred holder does not respond is accepted here
    Given the preferred instance does not respond
    When another instance is sent a step
    Then it holds the step itself within 0.5 s

  Scenario: a step whose preferred holder is stopping is accepted here
    Given the preferred instance is stopping
    When another instance is sent a step
    Then it holds the step itself within 0.5 s

  Scenario: an instance with many open steps takes no more from others
    When another instance is sent 6 steps
    Then the preferred instance holds 4 steps and the other one 2

  Scenario: an acceptance whose answer is lost is no second job
    Given the answers of the preferred instance are lost
    When another instance is sent a step
    Then the preferred instance holds the step, and nobody else does

  Scenario: a step that a slow store accepts late is run by its holder
    Given a store whose commits take 0.5 s
    When another instance is sent a step with 3 s to live
    Then exactly one instance holds the step
    And each instance reads its results

  Scenario Outline: with the store out a step is refused truthfully
    Given the store is down
    And the answers of the preferred instance are <answers>
    When another instance is sent a step
    Then the step is refused with "<code>"

    Examples:
      | answers | code              |
      | heard   | store_unavailable |
      | lost    | outcome_unknown   |

  # Guards against a job that is answered "not run" and runs, since an instance
  # that did not answer has accepted it.
  Scenario Outline: a step that another instance may accept is not called not run
    Given the store is down
    And the answers of the preferred instance are <answers>
    And the other instances are <state>
    When another instance is sent a step
    Then the step is refused with "<code>"

    Examples:
      | state          | answers | code              |
      | full           | heard   | store_unavailable |
      | full           | lost    | outcome_unknown   |
      | stopping       | heard   | stopping          |
      | stopping       | lost    | outcome_unknown   |

  # Guards against the same where that instance refuses the step by then, but
  # an earlier attempt to accept it there may still take effect.
  Scenario Outline: a step that was sent before is not called not run
    Given all commits are lost before their effect
    And the other instances are full
    When the preferred instance is sent the step with 0.6 s to live
    And the store is down from then on
    And <wait> s pass
    And another instance is sent a step
    Then the step is refused with "outcome_unknown"

    Examples: under way, and given up without a response of the store
      | wait |
      | 0.2  |
      | 1.0  |

  Scenario: while the store refuses, the preferred holder answers at once
    Given the store is down
    When another instance is sent a step with 1 s to live, and the store is back after 0.4 s
    Then it holds the step itself within 1.0 s

  Scenario Outline: which instance is preferred
    Then of the instances "<instances>" in the data centre "x" with suspects "<suspects>" one of "<near>" is preferred, the same for each

    Examples:
      | instances       | suspects | near  |
      | a:x b:x c:x d:y | none     | a b c |
      | a:x b:x c:x d:y | a        | b c   |
      | a:x b:y c:y     | none     | a     |
