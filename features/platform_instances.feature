Feature: Instances register in the store, and one of them has the duty

  Background:
    Given instances "a b c d e f" that have registered

  Scenario: one instance has the coordinator's duty
    When all instances seek the duty
    Then exactly one has a term

  Scenario: the next holder has a higher fence and waits for the last one's orders
    When all instances seek the duty
    And the holder's lease ends and 3 s pass
    And all instances seek the duty
    Then exactly one has a term, with a higher fence than before
    And its first order may be given 3 s later

  Scenario: a holder that can't renew its lease stops acting before it ends
    When all instances seek the duty
    And 1.8 s pass without a renewal
    Then no instance has a term
    When all instances renew their leases
    Then exactly one has a term

  Scenario: a holder whose lease was lost has no term though it registers again
    When all instances seek the duty
    And the holder's lease ends and 0.1 s pass
    And all instances renew their leases
    Then no instance has a term
    And all instances are registered

  Scenario: those next in turn see changes soon, the others gather them
    Then 3 instances ask for changes each 0.25 s and 3 each 1.5 s
