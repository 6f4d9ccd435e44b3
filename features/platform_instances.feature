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
    And its first order may be given 3 s after the duty was seen to be free

  Scenario Outline: a coordinator that is stopped tells when it ordered last
    When all instances seek the duty
    And the holder orders and is stopped <after> s later
    And all instances seek the duty
    Then exactly one has a term, with a higher fence than before
    And its first order may be given <wait> s later

    Examples: 3.6 s lie between the orders of two, those on their way included
      | after | wait |
      | 0.0   | 3.0  |
      | 1.0   | 2.6  |
      | 9.0   | 0.0  |

  Scenario: what a coordinator writes late does not shorten the wait
    When all instances seek the duty
    And the holder is stopped, and what it writes takes effect late
    And all instances seek the duty
    And the late write takes effect
    And the holder's lease ends and 3 s pass
    And all instances seek the duty
    Then its first order may be given 3 s after the duty was seen to be free

  Scenario: a candidate that missed a whole term waits from its acquisition
    When all instances seek the duty
    And the holder's lease ends and 3 s pass
    And another one holds the duty and is lost, unseen by the others
    And all instances seek the duty
    Then its first order may be given 3 s after its acquisition

  Scenario: a term that has ended lets no order begin
    When all instances seek the duty
    And the holder orders and is stopped 0.0 s later
    Then the holder before may not begin an order

  Scenario: a holder that can't renew its lease stops acting before it ends
    When all instances seek the duty
    And 1.8 s pass without a renewal
    Then no instance has a term
    When all instances renew their leases
    Then exactly one has a term

  Scenario: a holder whose lease was lost has no term though it registers again
    When all instances seek the duty
    And the holder's lease ends and 0.7 s pass
    And all instances renew their leases
    Then no instance has a term
    And all instances are registered

  Scenario: only the coordinator and the next in turn renew often
    When all instances seek the duty
    And each instance renews its lease when due for 12 s
    Then 4 instances have a lease of 2 s and 2 one of 8 s
    When each instance renews its lease when due for 10 s
    Then the first kind renewed 16 times each and the second 4 times each

  Scenario: an instance gets a short lease while it holds jobs and for 10 s after
    When all instances seek the duty
    And each instance renews its lease when due for 12 s
    And an instance with a long lease accepts a job
    Then it has a lease of 2 s after its next tick
    When its job has ended and 9 s pass
    Then it has a lease of 2 s after its next tick
    When its job has ended and 2 s pass
    Then it has a lease of 8 s after its next tick

  Scenario: a view that is older than the term does not end it
    When all instances seek the duty
    And the holder hears registrations that were read before it had the duty
    Then exactly one has a term

  Scenario: a duty whose acquisition got no answer is exercised
    When the store loses its answer to the first who takes the duty
    And the others read the registrations
    Then exactly one has a term
    And its first order may be given 3 s later

  Scenario: a view that shows another holder ends the term
    When all instances seek the duty
    And the store names another holder
    Then only that one has a term

  Scenario: a coordinator that restarts has its duty back at once
    When all instances seek the duty
    And the holder's process ends and starts again
    Then the holder has a term as soon as it has read the registrations
    And its fence is higher than before, and it need not wait
    And the term before can't be renewed

  Scenario: another instance does not take the duty of one that restarts
    When all instances seek the duty
    And the holder's process ends and starts again
    And 0.5 s pass without a renewal
    And the other instances seek the duty
    Then no instance but the holder can get a term

  Scenario: a coordinator that reaches no target gives up the duty
    When all instances seek the duty
    And the holder reaches no target, and the store loses its first answer
    And all instances seek the duty
    Then exactly one has a term
    And the one that reaches no target has none
    And its lease lives on

  Scenario: an instance that knows no other one yet does not seek the duty
    Given an instance that has just started
    Then it does not seek the duty before it has read the registrations

  Scenario: those next in turn see changes soon, the others gather them
    Then 3 instances ask for changes each 0.25 s and 3 each 1.5 s
