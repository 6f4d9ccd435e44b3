@fleet
Feature: The callers' interface refuses bad input with a stable code

  Scenario Outline: <case>
    When a caller sends <method> <path> with token "<token>", header "<header>" and body <body>
    Then the answer is <status> with code "<code>" and ran "<ran>"

    Examples:
      | case            | method | path            | token          | header          | body                                                       | status | code               | ran |
      | malformed JSON  | POST   | /v1/completions | counters-token |                 | {"model                                                    | 400    | bad_json           | no  |
      | missing field   | POST   | /v1/completions | counters-token |                 | {"model": "tasador-lm"}                                    | 400    | bad_field          | no  |
      | wrong type      | POST   | /v1/completions | counters-token |                 | {"model": "tasador-lm", "prompt": 3}                       | 400    | bad_field          | no  |
      | unknown model   | POST   | /v1/completions | counters-token |                 | {"model": "none", "prompt": "a"}                           | 404    | unknown_model      | no  |
      | no token        | POST   | /v1/completions |                |                 | {"model": "tasador-lm", "prompt": "a"}                     | 401    | no_token           | no  |
      | wrong token     | POST   | /v1/completions | wrong          |                 | {"model": "tasador-lm", "prompt": "a"}                     | 403    | forbidden          | no  |
      | past deadline   | POST   | /v1/completions | counters-token | X-Deadline-Ms=0 | {"model": "tasador-lm", "prompt": "a"}                     | 400    | bad_deadline       | no  |
      | no key          | POST   | /v1/services/credit-offers/offers | counters-token |       | {}                                                   | 400    | key_required       | no  |
      | unknown service | POST   | /v1/services/none/offers          | counters-token |       | {}                                                   | 404    | unknown_service    | no  |
      | unknown path    | GET    | /v1/none        | counters-token |                 | {}                                                         | 404    | not_found          | no  |
      | wrong method    | GET    | /v1/completions | counters-token |                 | {}                                                         | 405    | method_not_allowed | no  |
      | unknown field   | POST | /v1/completions      | counters-token |                 | {"model": "tasador-lm", "prompt": "a", "logit_bias": {}} | 400 | bad_field     | no |
      | field of a message | POST | /v1/chat/completions | counters-token |              | {"model": "tasador-lm", "messages": [{"role": "user", "content": "a", "x": 1}]} | 400 | bad_field | no |
      | two answers     | POST | /v1/completions      | counters-token |                 | {"model": "tasador-lm", "prompt": "a", "n": 2}           | 400 | bad_field     | no |
      | no tokens       | POST | /v1/completions      | counters-token |                 | {"model": "tasador-lm", "prompt": "a", "max_tokens": 0}  | 400 | bad_field     | no |
      | hot sampling    | POST | /v1/completions      | counters-token |                 | {"model": "tasador-lm", "prompt": "a", "temperature": 3} | 400 | bad_field     | no |
      | no messages     | POST | /v1/chat/completions | counters-token |                 | {"model": "tasador-lm", "messages": []}                  | 400 | bad_field     | no |
      | no object       | POST | /v1/completions      | counters-token |                 | []                                                       | 400 | bad_field     | no |
      | unknown query   | POST | /v1/completions?x=1  | counters-token |                 | {"model": "tasador-lm", "prompt": "a"}                   | 400 | bad_field     | no |
      | endless deadline | POST | /v1/completions     | counters-token | X-Deadline-Ms=600001 | {"model": "tasador-lm", "prompt": "a"}              | 400 | bad_deadline  | no |
      | no number       | POST | /v1/completions      | counters-token | X-Deadline-Ms=soon | {"model": "tasador-lm", "prompt": "a"}                | 400 | bad_deadline  | no |
      | long key        | POST | /v1/services/credit-offers/offers | counters-token | Idempotency-Key=kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk | {}                               | 400 | key_required  | no |
      | too many tokens | POST | /v1/completions      | counters-token |                 | {"model": "tasador-lm", "prompt": "a", "max_tokens": 2049} | 400 | bad_field   | no |
