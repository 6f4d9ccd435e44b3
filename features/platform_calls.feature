Feature: Calls and streams are passed on once, early and whole

  Background:
    Given a forwarder before 3 targets of 6 places

  Scenario: a call is answered by a target as the target answered
    When a repeatable call is forwarded
    Then the caller gets the target's whole answer within 0.5 s
    And the call ran on 1 target

  Scenario Outline: a repeatable call survives a target that fails
    Given target f0 has the fault "<fault>"
    When 6 repeatable calls are forwarded
    Then each caller gets the target's whole answer within 1.0 s

    Examples:
      | fault       |
      | full        |
      | unreachable |
      | broken      |
      | silent      |
      | 500         |

  Scenario: a repeatable call runs on no more targets than its route allows
    Given all targets have the fault "broken"
    When a repeatable call is forwarded
    Then the caller is refused with "target_failed", which ran "unknown"
    And the call ran on 2 targets

  Scenario: the failure of the last target is given back as it is
    Given all targets have the fault "500"
    When a repeatable call is forwarded
    Then the caller gets the target's status 500

  Scenario Outline: a call that must not be repeated is sent again only where it did not run
    Given all targets have the fault "<fault>"
    When a once-only call is forwarded
    Then the caller is refused with "<code>", which ran "<ran>"
    And the call may have run on at most <runs> targets

    Examples:
      | fault       | code          | ran     | runs |
      | broken      | target_failed | unknown | 1    |
      | unreachable | no_target     | no      | 0    |
      | full        | no_target     | no      | 0    |

  Scenario: without targets a call is refused at once with the time to come back
    Given there are no targets
    When a repeatable call is forwarded
    Then the caller is refused with "no_target", which ran "no"
    And it was refused within 0.1 s and may come back after 0.2 to 3 s

  Scenario: a call that comes before the list of targets is read waits for it
    Given the list of targets is read after 0.3 s
    When a repeatable call is forwarded
    Then the caller gets the target's whole answer within 0.6 s

  Scenario: a call ends at its route's time
    Given all targets have the fault "silent"
    When a repeatable call is forwarded
    Then the caller is refused with "deadline_exceeded", which ran "unknown"
    And it was answered between 0.9 and 1.3 s

  Scenario: the runs of a caller that leaves are ended
    Given all targets have the fault "silent"
    When a repeatable call is forwarded whose caller leaves after 0.2 s
    Then the caller is refused with "cancelled", which ran "unknown"
    And no attempt is at work 0.3 s later

  Scenario: a target that is leaving gets no call
    Given target f0 is leaving
    When 12 repeatable calls are forwarded
    Then target f0 ran none

  Scenario: targets missing from the list are gone, but not right after an outage
    When the list is read without f0 long after the store's return
    Then target f0 is out of use
    When the list is read without f1 right after the store's return
    Then target f1 is in use

  Scenario: a stream is passed on whole
    When a stream of 20 events is forwarded
    Then the caller reads events 1 to 20 once each

  Scenario: a stream that may be resumed goes on at another target
    Given the targets f0 and f1 have the fault "break"
    When a stream of 20 events is forwarded
    Then the caller reads events 1 to 20 once each

  Scenario: a stream that may not be resumed is broken off, not ended
    Given all targets have the fault "break"
    When a stream of 20 events that may not be resumed is forwarded
    Then the caller's stream is broken off

  Scenario: a stream that no target took is refused as not run
    Given all targets have the fault "full"
    When a stream of 20 events is forwarded
    Then the caller is refused with "no_target", which ran "no"
