@platform
Feature: Instances on the platform's stand-ins, as processes

  Scenario: a call is passed on raw and answered as the target answered
    When a client sends "POST /calls/a%2Fb/c?x=%20y" to edge-0
    Then the client gets 200 with the target's signature and its own id

  Scenario: a path without a route is refused
    When a client sends "GET /nowhere/" to edge-0
    Then the client gets 404 without a signature

  Scenario: a new configuration is in force on all instances within 2.5 s
    When a route "novel" is added
    Then all instances serve "/novel/" within 2.5 s

  Scenario: entries that can't be read change nothing
    When entries of other writers are put beside the targets
    Then all instances serve "/calls/" within 2.5 s

  Scenario: a batch job goes from acceptance to its results at every instance
    When job "w1" of 3 groups of 4 samples with 20 events is sent to edge-0
    Then all its results are read whole at every instance
    And the body of an item is given by edge-1 until the job ends

  Scenario: versions that a trainer names are loaded by all engines
    When version 2 of the model is named
    Then all engines serve version 2 within 10 s
    And each engine got orders of one holder with one fencing number

  Scenario: a job outlives the kill of its holder
    When job "w2" of 3 groups of 4 samples with 150 events is sent to edge-0
    And edge-0 is killed after 0.8 s
    Then all its results are read whole at edge-1 within 12 s
    And edge-0 is started again

  Scenario: all instances are killed right after an acceptance
    When job "w3" of 3 groups of 4 samples with 30 events is sent to edge-1
    And all instances are killed and started again
    Then all its results are read whole at every instance

  Scenario: a planned stop cuts no call and hands jobs over
    When job "w4" of 3 groups of 4 samples with 150 events is sent to edge-0
    And clients call edge-0 while it is stopped
    Then no call was cut and the process ended within 8 s
    And all its results are read whole at edge-1 within 12 s
    And edge-0 is started again

  Scenario: the history of the store is dropped
    When the key-value service forgets its history
    And a route "after" is added
    Then all instances serve "/after/" within 5 s

  Scenario: calls are served while the store is out, and jobs after it
    When the key-value service turns all callers away
    Then all instances serve "/calls/" within 1 s
    And a job is refused with 503 by edge-0
    When the key-value service is back
    Then a job "w5" is accepted by edge-0 within 6 s

  Scenario: a target that reports to leave gets no calls
    When target p-0 reports that it is leaving
    Then it gets no call from 2 s later on
    And all instances serve "/calls/" within 1 s

  Scenario: a target that reports only in its responses gets no more calls
    Given a further target p-2
    When the responses of target p-2 say that it is draining
    And each instance gets a response of target p-2
    Then target p-2 gets no more calls
    And all instances serve "/calls/" within 1 s

  Scenario: settings that change are reloaded without a cut
    When the settings file of edge-0 changes
    Then its log shows the reload within 5 s
    And all instances serve "/calls/" within 1 s

  Scenario: what happened to a request can be read from logs and metrics
    When a client with id "trace-1" sends "POST /calls/x" to edge-0
    Then the log of edge-0 has a line on "trace-1" with its target
    And the metrics of edge-0 count the call
    And the metrics of edge-0 count its calls to the store by cause

  Scenario: targets that name a request limit get no more calls than that
    Given a further target p-3
    When targets p-1 and p-3 name a limit of 4 requests a second
    And clients call all instances for 8 s
    Then from 3 s on each gets no more than its limit allows, and half of it

  Scenario: a request that crashes its targets is refused everywhere
    When clients send "POST /calls/x/crash" to edge-0 until it is refused, and p-1 and p-3 are started again each time
    Then at most 4 targets crashed and all instances refuse "POST /calls/x/crash"
    When all instances are killed and started again
    Then all instances refuse "POST /calls/x/crash"
    And all instances serve "/calls/" within 5 s
