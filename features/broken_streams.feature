Feature: After its first event a stream has complete events or is cut

  # Guards against error texts in the middle of a stream, events that come twice
  # or are missing, and streams that look complete although they are not.
  Scenario Outline: what the next engine answers, <answer>
    Given engines of which the first one breaks off after 3 events
    And the others answer with "<head>", "<body>" and <end>
    When a caller reads a stream that may be resumed
    Then it has got events 1 to <last>
    And its stream is <outcome>

    Examples:
      | answer              | head                                 | body                                   | end     | last | outcome  |
      | the rest            | 200 OK\r\nT: text/event-stream       | id: 4\ndata: d\n\nid: 5\ndata: e\n\n   | the end | 5    | complete |
      | nothing more        | 200 OK\r\nT: text/event-stream       |                                        | the end | 3    | complete |
      | the rest, then cut  | 200 OK\r\nT: text/event-stream       | id: 4\ndata: d\n\n                     | a cut   | 4    | cut      |
      | an error            | 500 Failed\r\nT: text/plain          | it failed\n\n                          | the end | 3    | cut      |
      | a rejection         | 503 Full\r\nX-Not-Executed: 1        | full\n\n                               | the end | 3    | cut      |
      | a timeout           | 504 Late\r\nT: text/plain            | late\n\n                               | the end | 3    | cut      |
      | text                | 200 OK\r\nT: text/plain              | it failed\n\n                          | the end | 3    | cut      |
      | a page              | 200 OK\r\nT: text/html               |                                        | the end | 3    | cut      |
      | JSON                | 200 OK\r\nT: application/json        | {"error": "failed"}\n\n                | the end | 3    | cut      |
      | text as events      | 200 OK\r\nT: text/event-stream       | it failed\n\n                          | the end | 3    | cut      |
      | an event without id | 200 OK\r\nT: text/event-stream       | data: it failed\n\n                    | the end | 3    | cut      |
      | a later error event | 200 OK\r\nT: text/event-stream       | id: 4\ndata: d\n\ndata: it failed\n\n  | the end | 3    | cut      |
      | all from the start  | 200 OK\r\nT: text/event-stream       | id: 1\ndata: a\n\nid: 2\ndata: b\n\n   | the end | 3    | cut      |
      | the last again      | 200 OK\r\nT: text/event-stream       | id: 3\ndata: c\n\nid: 4\ndata: d\n\n   | the end | 3    | cut      |
      | a gap               | 200 OK\r\nT: text/event-stream       | id: 6\ndata: f\n\n                     | the end | 3    | cut      |
      | one twice           | 200 OK\r\nT: text/event-stream       | id: 4\ndata: d\n\nid: 4\ndata: d\n\n   | the end | 4    | cut      |
      | half an event       | 200 OK\r\nT: text/event-stream       | id: 4\ndata: d                         | the end | 3    | cut      |
      | no stamp            | 200 OK\r\nT: text/event-stream\r\nX-Server-Stamp: none | id: 4\ndata: d\n\n        | the end | 3    | cut      |
      | an encoding         | 200 OK\r\nT: text/event-stream\r\nContent-Encoding: gzip | id: 4\ndata: d\n\n | the end | 3    | cut      |
      | another's answer    | 200 OK\r\nT: text/event-stream\r\nX-Request-Id: x | id: 4\ndata: d\n\n         | the end | 3    | cut      |
      | a length not met    | 200 OK\r\nT: text/event-stream\r\nContent-Length: 99 | id: 4\ndata: d\n\n      | a cut   | 4    | cut      |
      | no length, reset    | 200 OK\r\nT: text/event-stream\r\nContent-Length: none | id: 4\ndata: d\n\n    | a reset | 4    | cut      |

  Scenario Outline: what the first engine answers, <answer>
    Given engines that answer with "<head>", "<body>" and <end>
    When a caller reads a stream that may be resumed
    Then it is refused, or its stream is cut, and it has got no text of it

    Examples:
      | answer              | head                           | body                    | end     |
      | text                | 200 OK\r\nT: text/plain        | it failed\n\n           | the end |
      | an empty page       | 200 OK\r\nT: text/html         |                         | the end |
      | text as events      | 200 OK\r\nT: text/event-stream | it failed\n\n           | the end |
      | an event without id | 200 OK\r\nT: text/event-stream | data: it failed\n\n     | the end |
      | no event            | 200 OK\r\nT: text/event-stream |                         | the end |

  # Guards against samples that are listed as complete with a part of their text.
  Scenario Outline: a sample is not complete after <answer>
    Given engines that answer with "<head>", "<body>" and <end>
    When a sample with events 1 to 3 is run
    Then the run ends as <outcome> with events 1 to <last>

    Examples:
      | answer           | head                                                 | body                    | end     | outcome | last |
      | the rest         | 200 OK\r\nT: text/event-stream                       | id: 4\ndata: 4\n\n      | the end | WHOLE   | 4    |
      | text             | 200 OK\r\nT: text/plain                              | it failed\n\n           | the end | BROKEN  | 3    |
      | text as events   | 200 OK\r\nT: text/event-stream                       | it failed\n\n           | the end | BROKEN  | 3    |
      | a length not met | 200 OK\r\nT: text/event-stream\r\nContent-Length: 99 | id: 4\ndata: 4\n\n      | a cut   | BROKEN  | 4    |
      | a gap            | 200 OK\r\nT: text/event-stream                       | id: 6\ndata: 6\n\n      | the end | BROKEN  | 3    |
