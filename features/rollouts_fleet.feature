@fleet
Feature: A step outlives the instance that holds it

  Scenario: the holder is killed while the step is pulled
    Given a step of 400 samples of which the trainer has pulled one batch
    When the holder of the trainer's duty is killed
    Then a repeated pull at the other instance gives the same slots
    And the rest of the step comes whole, and each slot once

  Scenario: the instance that remains takes a further step
    Given a step of 64 samples that was only submitted
    Then the rest of the step comes whole, and each slot once
