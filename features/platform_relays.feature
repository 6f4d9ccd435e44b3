Feature: A few relays a region watch the store for all instances

  Background:
    Given instances "a:r1 b:r1 c:r1 d:r1 e:r1 f:r1 g:r2" that keep the list of targets
    And the store lists targets "t1 t2"
    And the configuration is "one"
    When a has read the configuration

  Scenario: what a relay knows is told in its region and nowhere else
    When a reads the list and tells it
    Then b has the configuration "one" and knows that it is current
    And b has made no call to the store
    And g has made no call to the store

  Scenario: values are sent when they have changed, and only then
    When a reads the list and tells it
    And a reads the list and tells it
    Then the values were sent to b 1 time
    When the configuration is "two"
    And a has read the configuration
    And a reads the list and tells it
    Then b has the configuration "two" and knows that it is current
    And the values were sent to b 2 times
    When the configuration is removed
    And a has read the configuration
    And a reads the list and tells it
    Then b has no configuration and knows that it is current

  Scenario: a relay that sees a change tells it at once and goes on reading
    Given a runs on the system's clock
    Then b is told 1 time within 0.5 s
    When the configuration is "two"
    And a has read the configuration
    And a is to tell it at once
    Then b is told 1 time more within 0.5 s
    And b is told 1 time more within 1.5 s
    And b has the configuration "two" and knows that it is current

  Scenario: an older copy that comes late is not taken
    When a reads the list and tells it
    And the configuration is "two"
    And a has read the configuration
    And a reads the list and tells it
    And the list that a has read comes to b once more
    Then b has the configuration "two" and knows that it is current

  Scenario: a relay that has missed a change does not keep the others from looking
    Given the configuration is "two"
    And a does not answer
    When a reads the list and tells it
    And c has read the configuration and tells it
    Then b has the configuration "two" and knows that it is current
    When 2 s go by on the clock
    And a reads the list and tells it
    And 0.5 s go by on the clock
    Then b has the configuration "two", which may be old
    And "a b c d e f g" look at the store themselves

  Scenario: an instance that hears nothing counts its copy as old and looks itself
    When a reads the list and tells it
    And 2.3 s go by on the clock
    Then b has the configuration "one", which may be old
    And "a b c d e f g" look at the store themselves

  Scenario: only relays look at the store while the others are fed
    When a reads the list and tells it
    Then "a c g" look at the store themselves

  Scenario: in an outage only relays go on trying
    When a reads the list and tells it
    And 2 s go by on the clock
    And c can't reach the store and says so
    And 1.9 s go by on the clock
    Then "a c g" look at the store themselves
    And no more than 4 instances read the list now

  Scenario: instances that have just started give relays time to feed them
    Then "a c g" look at the store themselves
    When 1.6 s go by on the clock
    Then "a b c d e f g" look at the store themselves

  Scenario: an instance with jobs to resume looks at once, fed or not
    Then an instance that starts does not look itself for 1.5 s
    And one that has jobs to resume looks itself at once
    And once it is fed it does not look itself any more

  Scenario: an instance whose relay was cut off is fed by the next one
    When a reads the list and tells it
    And 1 s go by on the clock
    And c can't reach the store and says so
    And a reads the list and tells it
    Then b has the configuration "one" and knows that it is current

  Scenario: an instance that does not respond is suspect for a while
    Given a client of instances whose peer does not listen
    When the client calls the peer in vain
    Then the peer is suspect
    When 3.1 s go by on the clock
    Then the peer is not suspect
