Feature: A request that crashes its targets is not sent to ever more of them

  Scenario Outline: a request that crashed three targets reaches at most three more
    Given instances a, b and c before 3 engines of 8 places
    And the request "crash" crashes each engine that runs it, for 0.4 s
    When it comes again at any instance for 9 s, beside other calls and a job, while <event>
    Then from 3 s after the third crash it reaches engines at most 3 times
    And no other call is refused as crashing its targets
    And in the last 3 s all other calls succeed
    And all results of the job are listed with whole texts of version 1

    Examples:
      | event                            |
      | nothing else happens             |
      | b restarts every second          |
      | c reaches no other one until 3 s |

  Scenario: a refused request stays refused after all instances restart at once
    Given instances a, b and c before 3 engines of 8 places
    And the request "crash" crashes each engine that runs it, for 0.4 s
    When it comes again at any instance for 6 s, beside other calls and a job, while all restart once the store names it
    Then all instances have restarted, and it reached no engine after that
    And all results of the job are listed with whole texts of version 1

  Scenario Outline: only a target that crashed counts against the request
    Given a forwarder before 3 targets of 6 places
    And a call to target f0 ended since it <end>
    When a tracked call to target f0 is cut off
    Then <count> crashes count against the call

    Examples:
      | end                                         | count |
      | closed the connection and listens no more   | 1     |
      | closed the connection and still listens     | 0     |
      | closed the connection while it drained      | 0     |
      | closed the connection after it left         | 0     |
      | closed the connection and can't be reached  | 0     |
      | fell silent                                 | 0     |

  Scenario Outline: a request is judged by repetition
    Given a request with the history "<history>"
    Then it is judged as <verdict>

    Examples: crashes of targets t0, t1 and so on, and successes
      | history         | verdict      |
      | none            | normal       |
      | t0              | suspect      |
      | t0 t0@0 t0@0    | suspect      |
      | t0 t0           | suspect_once |
      | t0 t0 t0        | refuse       |
      | t0 t1           | suspect_once |
      | t0 t1 t2        | refuse       |
      | t0 t1 ok t2     | suspect      |
      | t0 t1 t2 ok     | normal       |
      | ok t0 t1 t2     | refuse       |

  Scenario: what two instances know adds up
    Given a request with the history "t0 t1"
    When another instance tells that t1 and t2 crashed under it
    Then it is judged as refuse

  Scenario: a suspect goes where the fewest requests would be cut off with it
    Given targets "f0:5 f1:2 f2:2" with requests in flight and a suspect at f1
    When a suspect call is placed
    Then target "f2" is chosen for the suspect

  Scenario Outline: a request is known by host, path, caller and body
    Given the fingerprint of host h, path /a, caller c and body b
    Then the fingerprint of host <host>, path <path>, caller <caller> and body <body> is <same>

    Examples:
      | host | path | caller | body | same      |
      | h    | /a   | c      | b    | the same  |
      | g    | /a   | c      | b    | another   |
      | h    | /b   | c      | b    | another   |
      | h    | /a   | d      | b    | another   |
      | h    | /a   | c      | d    | another   |
      | h    | /ac  | none   | b    | another   |

  Scenario: the table keeps the requests that came last
    Given 10 003 requests under which a target crashed
    Then the 3 that came first are dropped, and all after an hour

  Scenario: a target that closes its connections before it stops listening has crashed
    Given instances a, b and c before 3 engines of 8 places
    And the request "crash" crashes each engine that runs it, for 0.4 s
    And engines stop listening 0.05 s after their connections are closed
    When instance a is sent it 3 times, 0.7 s apart
    Then 3 crashes are known at a, and it is refused
