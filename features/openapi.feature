Feature: docs/openapi.yaml describes what is served

  Scenario: the description matches the route tables
    Then docs/openapi.yaml equals the description built from the route tables

  Scenario: the description lists every error code
    Then docs/openapi.yaml lists the codes of the closed list of errors

  Scenario: every documented request schema is a valid schema
    Then each schema of docs/openapi.yaml is valid OpenAPI 3.1

  Scenario Outline: schema <schema> <verdict> <value>
    Then the schema <schema> <verdict> <value>

    Examples:
      | schema         | verdict | value                                                         |
      | CompletionBody | accepts | {"model": "a", "prompt": "b", "stop": "c", "n": 1}            |
      | CompletionBody | refuses | {"model": "a", "prompt": "b", "logit_bias": {}}               |
      | CompletionBody | refuses | {"model": "a", "prompt": "b", "n": 2}                         |
      | ChatBody       | accepts | {"model": "a", "messages": [{"role": "user", "content": ""}]} |
      | ChatBody       | refuses | {"model": "a", "messages": []}                                |
      | StepBody       | refuses | {"prompts": "a"}                                              |
      | VersionBody    | refuses | {"version": "two", "source": "a"}                             |
      | ErrorBody      | refuses | {"error": {"code": "none", "message": "", "ran": "no"}}       |
