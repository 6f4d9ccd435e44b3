Feature: Callers of an instance that reaches no target are served through others

  Scenario Outline: calls at <cut>, whose links <fault>
    Given instances a, b and c before 4 engines of 12 places
    When calls come at each instance for 5 s, while from 1 s to 4 s the links of <cut> <fault>
    Then nine tenths of the calls at each instance are served
    And those at <cut> from 1 s after the cut are answered within 0.6 s each
    And no call that must not be repeated ran twice
    And no refused call has run
    And no target counts as crashed
    And each instance sends to targets itself again at the end

    Examples:
      | cut     | fault  |
      | a       | hang   |
      | a       | refuse |
      | a       | reset  |
      | a       | keep   |
      | a and b | hang   |
      | a and b | refuse |

  Scenario: no call tries ever more targets when all instances have lost their links
    Given instances a, b and c before 12 engines of 12 places
    When calls come at each instance for 3 s, while from 1 s to 4 s the links of a and b and c hang
    Then no call was sent to more than 3 targets at once

  Scenario Outline: streams at an instance whose links <fault>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And the links of a <fault>
    When 12 streams of 40 events are read at a to their end
    Then all of the 12 streams were whole at the end
    And no stream holds events of two software versions

    Examples:
      | fault  |
      | hang   |
      | refuse |

  Scenario: streams go on through another instance when the links are lost
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    When 12 streams of 300 events are read at a, whose links hang after 0.3 s
    Then all of the 12 streams were whole at the end
    And no stream holds events of two software versions

  # What b began has no event at the caller; what c began then has. The origin
  # that b had told others of made them go on at another version.
  Scenario: a stream that began again through another instance is not joined
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And the links of a hang
    And a has noticed that
    And responses to streams are lost between b and a
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after nothing else
    Then no stream holds events of two software versions
    And all of the 24 streams were whole at the end

  Scenario Outline: a job at an instance whose links <fault> is finished by others
    Given instances a, b and c before 4 engines of 12 places
    When a accepts a job of 4 groups of 8 samples with 100 events
    And after 0.1 s the links of a <fault>
    Then all results of the job are listed within 6 s
    And another instance than a held the job at the end

    Examples:
      | fault  |
      | hang   |
      | refuse |

  Scenario: a job goes on where it is when no instance reaches a target
    Given instances a, b and c before 4 engines of 12 places
    When a accepts a job of 4 groups of 8 samples with 100 events
    And the links of b and c hang, too, until 2.5 s
    And after 0.1 s the links of a hang
    Then all results of the job are listed within 10 s
    And its head was replaced while nobody took it

  Scenario: a job that arrives at an instance without links is held elsewhere
    Given instances a, b and c before 4 engines of 12 places
    And the links of a hang
    And a has noticed that
    When a accepts a job of 4 groups of 8 samples with 40 events
    Then all results of the job are listed within 4 s
    And another instance than a held the job at the end

  Scenario: targets that fail while others answer say nothing of the links
    Given instances a, b and c before 4 engines of 12 places
    When calls come at each instance for 2 s, while t0 and t1 are unreachable
    Then nine tenths of the calls at each instance are served
    And no instance took its links for lost

  Scenario Outline: a request goes through the nearest instance that has room, <case>
    Given an instance of "dc-a" that knows "n1:dc-a n2:dc-a r1:dc-b o1:dc-c"
    And <busy> have all the requests that they may get
    And <resting> have just refused one
    When a request that <tried> have had is to go through another instance
    Then it goes through <chosen>

    Examples: dc-a and dc-b lie in one region
      | case                            | busy  | resting | tried    | chosen   |
      | of this data centre             | none  | none    | r1 o1    | n1 or n2 |
      | not twice through the same      | none  | none    | n1       | n2       |
      | of this region                  | n1 n2 | none    | none     | r1       |
      | not one that has just refused   | n1    | n2 r1   | none     | o1       |
      | none                            | n1 n2 | r1      | o1       | nobody   |

  Scenario Outline: what targets that don't answer say of the links, <history>
    Given <known> known targets, and the history "<history>"
    Then the links are <links>

    Examples: unanswered targets; "ok" on an open connection, "new" on a new one
      | known | history          | links    |
      | 9     | t0 t1            | sound    |
      | 9     | t0 t1 t2         | doubtful |
      | 9     | t0 t0 t0         | sound    |
      | 2     | t0 t1            | doubtful |
      | 9     | t0 t1 ok t2      | sound    |
      | 9     | t0 t1 t2 ok      | doubtful |
      | 9     | t0 t1 t2 new     | sound    |
      | 9     | t0 t1 t2 wait    | isolated |
      | 9     | t0 t1 t2 wait ok | isolated |
