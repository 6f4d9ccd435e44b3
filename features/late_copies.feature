Feature: A response is believed only once it is known whose it is

  # Guards against streams that run twice, or that run and are refused, since
  # the copy of another request's rejection was taken for theirs.
  Scenario Outline: a late copy of a rejection says nothing about the next request
    Given a target that sends its response "<response>" again, late
    When it gets a <kind> that it rejects, and another one
    Then the other one counts as one that may have run
    And the copy reports neither a limit nor that the target is draining
    And the connection with the copy is not used again

    Examples:
      | kind   | response                                                      |
      | call   | 503 Full\r\nX-Not-Executed: 1                                 |
      | call   | 421 Misdirected                                               |
      | call   | 400 Bad\r\nX-Not-Executed: 1                                  |
      | call   | 503 Full\r\nX-Not-Executed: 1\r\nServer-Limit: 5              |
      | call   | 503 Full\r\nX-Not-Executed: 1\r\nServer-Leaving: 1            |
      | stream | 503 Full\r\nX-Not-Executed: 1                                 |
      | stream | 421 Misdirected                                               |
      | stream | 503 Full\r\nX-Not-Executed: 1\r\nServer-Limit: 5              |
      | stream | 503 Full\r\nX-Not-Executed: 1\r\nServer-Leaving: 1            |

  # Guards against items that are given up after fewer errors than their route
  # allows, since the copy of an earlier error was taken for their next one.
  Scenario Outline: a request that is sent again takes another connection
    Given a target that sends its response "500 Failed\r\nX-Server-Stamp: s" again, late
    When it gets the same <kind> <count> times
    Then each of them came on a connection of its own

    Examples:
      | kind   | count |
      | call   | 2     |
      | call   | 3     |
      | stream | 2     |
      | stream | 3     |

  # Guards against a target that counts as gone, since the copy of another
  # request's rejection was taken for its report or for the outcome of an order.
  Scenario Outline: a late copy of a rejection is no answer to a call without id
    Given a target that sends its response "421 Misdirected" again, late
    When it gets a call that it rejects, and <call>
    Then the other one counts as one that may have run

    Examples:
      | call             |
      | a state report   |
      | an order         |

  # Guards against streams whose outcome becomes unknown, since a copy or a
  # close was already on its way on the connection that they take.
  Scenario: streams that may run once use new connections
    Given a forwarder before 3 targets of 6 places
    When a stream of 2 events that may not be resumed is forwarded
    Then the caller reads events 1 to 2 once each
    And it came to its target on a connection of its own
