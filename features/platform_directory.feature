Feature: One instance of a region reads the list of targets for all of it

  Background:
    Given instances "a:r1 b:r1 c:r2" that keep the list of targets
    And the store lists targets "t1 t2"

  Scenario: a reading is told in its region and nowhere else
    When a reads the list and tells it
    Then a and b know "t1 t2" after 1 reading
    And c knows nothing

  Scenario: who has heard the list does not read it
    When a reads the list and tells it
    Then the turn of b is 0.9 s to 1.95 s later and that of c is now

  Scenario: an instance that does not answer holds up nobody
    Given b does not answer
    When a reads the list and tells it
    Then a knows "t1 t2"
    And b knows nothing

  Scenario: an older list that comes late is not taken
    When a reads the list and tells it
    And the store lists targets "t2 t3" and b reads them
    And the list that a has read comes to b once more
    Then b knows "t2 t3"

  Scenario: targets missing soon after the list was lost are kept for a while
    When a reads the list and tells it
    And 5 s pass, and the store lists targets "t2" and a reads them
    Then a knows "t1 t2"
    When 2.1 s pass, and the store lists targets "t2" and a reads them
    Then a knows "t2"

  Scenario: targets missing from a list that was never lost are gone at once
    When a reads the list and tells it
    And 1 s pass, and the store lists targets "t2" and a reads them
    Then a knows "t2"
