@fleet
Feature: All interfaces refuse bad input with a stable code

  Scenario Outline: trainers' interface, <case>
    When a trainer sends <method> <path> with token "<token>" and body <body>
    Then the answer is <status> with code "<code>" and ran "no"

    Examples:
      | case             | method | path                                               | token           | body                                                                              | status | code            |
      | malformed JSON   | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts                                                                         | 400    | bad_json        |
      | missing field    | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts": [{"id": "a"}]}                                                        | 400    | bad_field       |
      | unknown field    | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts": [], "priority": 1}                                                    | 400    | bad_field       |
      | prompt's field   | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts": [{"id": "a", "prompt": "b", "samples": 1, "max_tokens": 1, "x": 1}]} | 400    | bad_field       |
      | too many tokens  | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts": [{"id": "a", "prompt": "b", "samples": 1, "max_tokens": 2049}]} | 400 | bad_field |
      | wrong type       | POST   | /v1/trainers/appraiser/steps/1/prompts             | appraisal-token | {"prompts": "a"}                                                                  | 400    | bad_field       |
      | no token         | POST   | /v1/trainers/appraiser/steps/1/prompts             |                 | {"prompts": []}                                                                   | 401    | no_token        |
      | wrong token      | POST   | /v1/trainers/appraiser/steps/1/prompts             | wrong           | {"prompts": []}                                                                   | 403    | forbidden       |
      | other team       | POST   | /v1/trainers/appraiser/steps/1/prompts             | counters-token  | {"prompts": []}                                                                   | 404    | unknown_trainer |
      | other's samples  | GET    | /v1/trainers/appraiser/steps/1/samples?after=0     | counters-token  |                                                                                   | 404    | unknown_trainer |
      | other's weights  | POST   | /v1/trainers/appraiser/version                     | counters-token  | {"version": 2, "source": "127.0.0.1:1"}                                           | 404    | unknown_trainer |
      | unknown trainer  | GET    | /v1/trainers/none/steps/1/samples                  | appraisal-token |                                                                                   | 404    | unknown_trainer |
      | unknown step     | GET    | /v1/trainers/appraiser/steps/99/samples            | appraisal-token |                                                                                   | 404    | unknown_step    |
      | step's name      | GET    | /v1/trainers/appraiser/steps/one/samples           | appraisal-token |                                                                                   | 400    | bad_field       |
      | cursor's type    | GET    | /v1/trainers/appraiser/steps/1/samples?after=x     | appraisal-token |                                                                                   | 409    | bad_cursor      |
      | unknown query    | GET    | /v1/trainers/appraiser/steps/1/samples?before=1    | appraisal-token |                                                                                   | 400    | bad_field       |
      | version's type   | POST   | /v1/trainers/appraiser/version                     | appraisal-token | {"version": "two", "source": "127.0.0.1:1"}                                       | 400    | bad_field       |
      | wrong method     | PUT    | /v1/trainers/appraiser/version                     | appraisal-token | {}                                                                                | 405    | method_not_allowed |

  Scenario: a cursor that was never given
    Given a step 7 with one finished sample
    When a trainer sends GET /v1/trainers/appraiser/steps/7/samples?after=5 with token "appraisal-token" and body
    Then the answer is 409 with code "bad_cursor" and ran "no"

  Scenario Outline: administration, <case>
    When an operator sends <method> <path> with token "<token>" and body <body>
    Then the answer is <status> with code "<code>" and ran "no"

    Examples:
      | case            | method | path                            | token             | body                                        | status | code           |
      | malformed JSON  | PUT    | /admin/v1/config                | fleet-admin-token | {"config                                    | 400    | bad_json       |
      | unknown field   | PUT    | /admin/v1/config                | fleet-admin-token | {"config": {}, "seen": 0, "author": "a", "force": true} | 400 | bad_field |
      | wrong type      | PUT    | /admin/v1/config                | fleet-admin-token | {"config": {}, "seen": "x", "author": "a"}  | 400    | bad_field      |
      | invalid config  | PUT    | /admin/v1/config                | fleet-admin-token | {"config": {}, "seen": 0, "author": "a"}    | 422    | config_invalid |
      | no token        | GET    | /admin/v1/config                |                   |                                             | 401    | no_token       |
      | a team's token  | GET    | /admin/v1/config                | counters-token    |                                             | 403    | forbidden      |
      | unknown target  | POST   | /admin/v1/targets/none/drain    | fleet-admin-token |                                             | 404    | not_found      |
      | unknown path    | GET    | /admin/v1/none                  | fleet-admin-token |                                             | 404    | not_found      |
      | wrong method    | DELETE | /admin/v1/config                | fleet-admin-token |                                             | 405    | method_not_allowed |

  Scenario: a configuration over another revision is refused whole
    When an operator applies the shown configuration over revision 99
    Then the answer is 409 with code "config_conflict" and ran "no"

  Scenario Outline: raw bytes, <case>
    When a client sends the <case> request
    Then the raw answer is <status> with code "<code>"

    Examples:
      | case                 | status | code              |
      | over-long body       | 413    | body_too_large    |
      | over-long announced  | 413    | body_too_large    |
      | over-long header     | 431    | headers_too_large |
      | malformed first line | 400    | malformed_request |

  Scenario Outline: good answers have the documented shape, <schema>
    When an operator sends GET <path> with token "fleet-admin-token" and body
    Then the answer fits the documented schema <schema>

    Examples:
      | path              | schema        |
      | /admin/v1/config  | ConfigAnswer  |
      | /admin/v1/targets | TargetsAnswer |
      | /admin/v1/duties  | DutiesAnswer  |

  Scenario Outline: completions have the documented shape, <schema>, <reason>
    When a caller sends POST <path> with token "counters-token", header "" and body <body>
    Then the answer fits the documented schema <schema>
    And the answer has finish reason "<reason>" and <count> completion tokens

    Examples:
      | path                 | body                                                                                                        | schema           | reason | count |
      | /v1/completions      | {"model": "tasador-lm", "prompt": "console 1", "max_tokens": 8, "user": "a", "n": 1}                        | CompletionAnswer | length | 8     |
      | /v1/completions      | {"model": "tasador-lm", "prompt": "console 3", "max_tokens": 8, "temperature": 0.5}                         | CompletionAnswer | stop   | 3     |
      | /v1/chat/completions | {"model": "tasador-lm", "messages": [{"role": "user", "content": "console 6"}], "max_completion_tokens": 8} | ChatAnswer       | length | 8     |

  Scenario: a stream ends with a finish reason, the usage and the end marker
    When a caller sends POST /v1/completions with token "counters-token", header "" and body {"model": "tasador-lm", "prompt": "console 1", "max_tokens": 8, "stream": true, "stream_options": {"include_usage": true}}
    Then the stream holds 8 parts, a finish reason "length", 8 completion tokens and the end marker

  Scenario: logs and process arguments hold no secret and no prompt
    When a caller sends POST /v1/completions with token "counters-token", header "" and body {"model": "tasador-lm", "prompt": "a-private-prompt", "max_tokens": 4}
    And a caller sends POST /v1/completions with token "a-wrong-token", header "" and body {"model": "tasador-lm", "prompt": "a-private-prompt"}
    Then no instance shows any of these in its log or arguments
      | text              |
      | counters-token    |
      | a-wrong-token     |
      | appraisal-token   |
      | fleet-admin-token |
      | fleet-peer-secret |
      | a-private-prompt  |
