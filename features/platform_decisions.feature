Feature: Decisions on forwarded calls, jobs and weights

  Scenario Outline: a request goes to the route with the longest prefix
    Given forward routes "/a/" to one, "/a/b/" to two and "/c/" to three
    When the route of "<path>" on host "<host>" is looked up
    Then the forward route is "<service>"

    Examples:
      | host | path       | service |
      | h    | /a/x       | one     |
      | h    | /a/b/x     | two     |
      | h    | /a/bx      | one     |
      | h    | /c/        | three   |
      | h    | /d/        | none    |
      | g    | /a/x       | none    |

  Scenario Outline: the next step of a call
    Given a call that is <kind> with <running> running and <ran> that may have run
    And <free> places are free and the answer takes 0.05 s
    When it is <now> s old with a hedge at 0.1 s and a deadline at 1.0 s
    Then the call's next step is <step>

    Examples:
      | kind       | running | ran | free | now   | step    |
      | repeatable | 0       | 0   | 3    | 0.0   | START   |
      | repeatable | 1       | 1   | 3    | 0.05  | WAIT    |
      | repeatable | 1       | 1   | 3    | 0.11  | START   |
      | repeatable | 1       | 1   | 0    | 0.11  | WAIT    |
      | repeatable | 2       | 2   | 3    | 0.5   | WAIT    |
      | repeatable | 0       | 2   | 3    | 0.5   | GIVE_UP |
      | repeatable | 0       | 1   | 3    | 0.5   | START   |
      | repeatable | 0       | 0   | 0    | 0.1   | WAIT    |
      | repeatable | 0       | 0   | 0    | 0.97  | REJECT  |
      | repeatable | 0       | 1   | 0    | 0.97  | GIVE_UP |
      | once       | 1       | 1   | 3    | 0.5   | WAIT    |
      | once       | 0       | 1   | 3    | 0.5   | GIVE_UP |
      | once       | 0       | 0   | 3    | 0.5   | START   |
      | once       | 0       | 0   | 3    | 0.995 | GIVE_UP |

  Scenario: a burst is rejected at once with the time to come back
    Given a service of 6 places whose answers take 0.5 s
    When 100 calls with 2.5 s to live arrive at once
    Then 6 calls start, the rest that fit wait and all others are rejected at once
    And each rejected call gets a time to come back between 0.2 and 3 s

  Scenario Outline: a call goes where it should be answered first
    Given targets "<targets>"
    When a call is placed that has tried "<tried>"
    Then the call goes to "<chosen>"

    Examples:
      | targets                          | tried | chosen |
      | a:link_s=0.02 b:link_s=0.001     |       | b      |
      | a:in_flight_here=6 b:link_s=0.02 |       | b      |
      | a:answer_s=0.4 b:link_s=0.02     |       | b      |
      | a:backoff_until=9 b:link_s=0.02  |       | b      |
      | a:backoff_until=9                |       | a      |
      | a:link_s=0.02 b:link_s=0.001     | b     | a      |
      | a:link_s=0.02                    | a     | none   |

  Scenario Outline: a sample goes to an engine that may make it and ends it first
    Given targets "<targets>"
    When a sample of 100 events from version 3 with home "<home>" is placed
    Then the sample goes to "<chosen>"

    Examples:
      | targets                                  | home | chosen |
      | a:version=2 b:version=3                  | a    | b      |
      | a:version=2                              |      | none   |
      | a:version=3,in_flight_here=6 b:version=4 | a    | b      |
      | a:version=3,event_s=0.14 b:version=3     | a    | b      |
      | a:version=3 b:version=3                  | b    | b      |
      | a:version=3,backoff_until=9 b:version=3  | a    | b      |
      | a:version=3,in_flight_elsewhere=6        |      | none   |

  # Guards against items that are at no engine for seconds, though engines have
  # room: each of them expects the next place at one that can continue it.
  Scenario Outline: started samples whose engines were replaced don't wait for long
    Given <samples> samples with 10 of 25 events, and 1 engine of 5 that can continue them
    When engines of 16 places take <pace> s for an event
    Then no sample waits longer than 1.6 s while an engine has room
    And at least 16 samples go on from their events

    Examples:
      | samples | pace |
      | 20      | 0.04 |
      | 45      | 0.15 |
      | 64      | 0.15 |
      | 64      | 0.4  |

  Scenario: with places to spare the longest samples start first
    Given samples of "g1:5,90 g2:40,10"
    When 100 events a second are made and 8 s are left
    Then the samples start in the order "90 40 10 5"

  Scenario: with too few places whole groups start one after the other
    Given samples of "g1:5,90 g2:40,10"
    When 10 events a second are made and 8 s are left
    Then the samples start in the order "40 10 90 5"

  Scenario: group order completes more groups in time than longest first
    Given 12 groups of 8 samples with one long sample in every second group
    When an engine of 8 places has 6 s for them
    Then the chosen order completes at least 4 groups more than longest first

  Scenario Outline: when results are listed
    Given <count> finished results that wait since <since>, <of> the step
    When it is 10.0 with the last listing at <listed> and the due moment at 20.0
    Then listing is due: <due>

    Examples:
      | count | since | of                  | listed | due |
      | 0     | 10.0  | a part of           | 1.0    | no  |
      | 1     | 9.5   | a part of           | 1.0    | no  |
      | 1     | 7.9   | a part of           | 1.0    | yes |
      | 8     | 9.9   | a group of          | 8.5    | yes |
      | 8     | 9.9   | a group of          | 9.5    | no  |
      | 8     | 9.9   | the last wanted of  | 9.95   | yes |
      | 8     | 9.9   | a group after       | 9.5    | yes |
      | 8     | 9.9   | a group after       | 9.9    | no  |
      | 8     | 9.9   | the end of          | 9.99   | yes |

  Scenario Outline: groups near the due moment wait for the step's end or the last call
    Given 8 finished results that wait since <since>, a group of the step
    When it is 10.0 with the last listing at <listed> and the due moment at <due>
    Then listing is due: <listing>

    Examples:
      | since | listed | due  | listing |
      | 9.9   | 8.5    | 11.7 | yes     |
      | 9.9   | 8.5    | 11.5 | no      |
      | 9.9   | 8.5    | 10.5 | no      |
      | 7.9   | 7.5    | 10.5 | yes     |
      | 9.9   | 9.7    | 10.4 | yes     |
      | 9.9   | 9.9    | 10.4 | no      |
      | 9.9   | 9.7    | 9.9  | yes     |
      | 9.9   | 9.5    | 9.7  | no      |
      | 9.9   | 8.9    | 9.7  | yes     |

  Scenario Outline: what becomes of a sample after a run
    When a run of a sample ends with <end> after <errors> errors of 3 attempts
    Then the sample's next step is <next>

    Examples:
      | end        | errors | next      |
      | WHOLE      | 0      | LIST      |
      | IMPOSSIBLE | 0      | GIVE_UP   |
      | ERROR      | 1      | RUN_AGAIN |
      | ERROR      | 3      | GIVE_UP   |
      | REFUSED    | 0      | RUN_AGAIN |
      | BROKEN     | 2      | RUN_AGAIN |
      | OUTDATED   | 0      | RUN_AGAIN |
      | MOVED      | 0      | RUN_AGAIN |

  Scenario Outline: events that a further run may go on from
    Given events made by versions <made>
    When a run under version 4 begins that allows 3 and newer, single: <single>
    Then <kept> events are kept

    Examples:
      | made    | single | kept |
      | 3,3,4   | no     | 3    |
      | 2,3,4   | no     | 0    |
      | 3,3     | yes    | 0    |
      | 4,4     | yes    | 2    |

  Scenario: samples on a slow engine move to free places, the latest first
    Given running samples "1:100,0.14 2:10,0.14 3:100,0.04 4:4,0.14 5:50,0.14"
    When engines with a pace of 0.04 s have 2 free places
    Then samples "1 5" move

  Scenario: engines load a few at a time, idle ones first
    Given engines "a:1,4 b:1,0 c:1,2 d:2,0 e:1,9 f:1,1"
    When version 2 is wanted and "c" loads
    Then the engines "b" load next

  Scenario Outline: loads at once follow the number of engines
    Then of <engines> engines <loads> load at once

    Examples:
      | engines | loads |
      | 1       | 2     |
      | 5       | 2     |
      | 6       | 2     |
      | 23      | 9     |

  Scenario: jobs of lost and restarted instances are orphans
    Given members "a/1 b/2"
    And held jobs "j1:a/1 j2:a/0 j3:c/1 j4:c/1:closed"
    Then the orphans are "j2 j3"

  Scenario: orphans go to the least busy instance, spread over equals
    Given members "a/1 b/2 c/3"
    When 30 orphans are given to the least busy, where a holds 3
    Then the orphans are spread "a=8 b=11 c=11"

  Scenario Outline: the way of a call to the store
    Given the direct way failed <failures> times, last at <failed>
    When a call is sent at 10.0 and <relays> instances may pass it on
    Then the ways are "<ways>"

    Examples:
      | failures | failed | relays | ways       |
      | 0        | 0      | 3      | direct 0 1 |
      | 1        | 9.0    | 3      | 0 1 direct |
      | 1        | 8.0    | 3      | direct 0 1 |
      | 1        | 9.0    | 0      | direct     |

  Scenario Outline: an engine with the version before loads when others have room
    Given engines "<engines>"
    When version 3 was named <ago> s ago and "<loading>" loads
    Then the engines "<names>" load next

    Examples:
      | engines                 | ago | loading | names |
      | a:2,8 b:2,8 c:2,8 d:2,8 | 2.0 | none    |       |
      | a:2,2 b:2,1 c:2,3 d:2,8 | 0.5 | none    |       |
      | a:2,2 b:2,1 c:2,3 d:2,8 | 1.5 | none    | b a   |
      | a:2,2 b:2,1 c:2,3 d:2,8 | 1.5 | b       | a     |
      | a:2,7 b:2,8 c:2,8 d:2,8 | 1.5 | none    |       |
      | a:3,8 b:2,8 c:2,0 d:2,8 | 1.5 | none    | c     |
      | a:3,0 b:1,8 c:1,8 d:2,8 | 0.5 | none    | b c   |
      | a:3,0 b:3,0 c:1,8 d:1,8 | 0.5 | c       | d     |
      | a:1,0 b:1,0 c:2,8 d:2,8 | 1.5 | a       | b     |

  Scenario Outline: what was begun goes before what was not
    Then a sample with <events> events of a step <age> s old has urgency <urgency>

    Examples:
      | events | age | urgency |
      | 5      | 1   | 2       |
      | 0      | 5   | 4       |
      | 0      | 1   | 5       |

  Scenario Outline: a begun sample may wait at an engine whose places are taken
    Given targets "<targets>"
    When a begun sample of 100 events is placed
    Then the sample goes to "<chosen>"

    Examples:
      | targets                               | chosen |
      | a:in_flight_here=6 b:in_flight_here=5 | b      |
      | a:in_flight_here=8                    | a      |
      | a:in_flight_here=9                    | none   |

  Scenario Outline: a store that is slow for all is given more time
    Given the direct way failed <failures> times, last at 9.0
    And others reach the store meanwhile: <relayed>
    And its last answer took <latency> s
    Then a direct call may take <limit> s

    Examples:
      | failures | relayed | latency | limit |
      | 0        | no      | 0.01    | 0.8   |
      | 1        | no      | 0.01    | 1.6   |
      | 1        | yes     | 0.01    | 0.8   |
      | 4        | no      | 0.01    | 2.5   |
      | 4        | yes     | 0.01    | 0.8   |
      | 0        | no      | 0.6     | 1.5   |

  Scenario Outline: a sample that outruns its hint is expected to go on
    Then a sample hinted at <hint> events with <made> made has <left> left

    Examples:
      | hint | made | left |
      | 100  | 0    | 100  |
      | 100  | 40   | 60   |
      | 100  | 100  | 25   |
      | 10   | 160  | 40   |
      | 0    | 0    | 1    |

  Scenario: one instance of a region reads the list, others only without it
    Given instances "a b c d e" of one region that heard the list at 10.0
    Then one of them reads at 10.9 and the others from 11.2 on, at most at 12.0

  Scenario: the reader's turn moves on when it has gone
    Given instances "a b c" of one region that heard the list at 10.0
    When the first reader has gone
    Then one of them reads at 10.9 and the others from 11.2 on, at most at 12.0

  Scenario Outline: the list is read as often as the drain time asks
    Then with a drain time of <drain> s a list that nobody reads is <age> s old

    Examples:
      | drain | age  |
      | 0.5   | 1.65 |
      | 2.5   | 2.25 |
      | 4.0   | 2.79 |
