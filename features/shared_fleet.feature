Feature: Two instances of one data centre and a store that fails

  Background:
    Given two configured instances of one data centre

  Scenario: A killed peer is missed, whoever opened the stream
    When one shared instance is killed
    Then the other shared instance lists only itself within 9 s

  Scenario: A paused peer is told from a dead one
    When one shared instance is paused for 9 s
    Then the other shared instance saw it paused, then alive, and never dead

  Scenario: An instance that restarts while the store is out asks its peers
    Given the shared store is out
    When one shared instance is killed
    And it is started again
    Then it holds the same revision within 20 s

  Scenario: A lost answer on apply and a rollback
    When the store loses the answer to a change
    Then the change is in force on both shared instances
    When an operator rolls back to the first revision
    Then a higher revision is in force with the history of both
