Feature: Decisions on retries, ejection and streams hold under any order of events

  Scenario Outline: the <machine> machine finds no violation
    When the live decision machine <machine> runs 100 cases
    Then no live decision case broke a rule

    Examples:
      | machine  |
      | budget   |
      | ejection |
      | stream   |

  Scenario Outline: ejection: <case>
    When a target's attempts end as "<outcomes>" one second apart
    Then it is ejected until second <until>

    Examples:
      | case                                 | outcomes         | until |
      | one failure is not enough            | fail             | 0     |
      | two in a row eject for 1 s           | fail fail        | 2     |
      | a success between them clears        | fail ok fail     | 0     |
      | one silent connection ejects at once | silent           | 1     |
      | a failed probe doubles the time      | silent silent    | 3     |
      | a success after it clears all        | silent ok silent | 3     |

  Scenario Outline: after a stall, <case>
    When a stream with <empty> empty resumes finds its request <found>
    Then its next step is <step>

    Examples:
      | case                                 | empty | found     | step   |
      | a queued request is waited for       | 1     | queued    | RESUME |
      | a running one is resumed             | 0     | running   | RESUME |
      | a running one that stays mute moves  | 1     | running   | MOVE   |
      | a finished one is read               | 0     | finished  | RESUME |
      | a cancelled one moves                | 0     | cancelled | MOVE   |
      | an unknown one moves                 | 0     | unknown   | MOVE   |

  Scenario Outline: tokens gather while <streams> streams are open
    Given <streams> open live streams
    Then a live stream pauses <pause> s between reads

    Examples:
      | streams | pause |
      | 1       | 0     |
      | 7       | 0     |
      | 8       | 0.004 |
      | 60      | 0.03  |
      | 124     | 0.05  |
