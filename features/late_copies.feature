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

  # Guards against streams whose outcome becomes unknown, since a copy or a
  # close was already on its way on the connection that they take.
  Scenario: streams that may run once use new connections
    Given a forwarder before 3 targets of 6 places
    When a stream of 2 events that may not be resumed is forwarded
    Then the caller reads events 1 to 2 once each
    And it came to its target on a connection of its own
