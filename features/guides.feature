Feature: Reference pages match the code

  Scenario: each error code has a page, and no page is left over
    Then the pages under docs/errors are those of the closed list of errors

  Scenario: all generated pages are up to date
    Then each generated page equals what the code's tables give

  Scenario Outline: the documents name <what>
    Then docs/<page> names each of <what>

    Examples:
      | page          | what         |
      | OPERATIONS.md | the commands |
      | OPERATIONS.md | the alerts   |

  Scenario Outline: configuration errors, <case>
    Given a configuration folder whose <file> has <case>
    When the folder is loaded
    Then it is refused with <count> problems that name <words>

    Examples:
      | case               | file                | count | words                                              |
      | a tab              | base.yaml           | 1     | base.yaml, line 1, valid YAML                      |
      | two unknown fields | base.yaml           | 2     | $.colour, $.size, one of                           |
      | a wrong type       | sites/ar-sur.yaml   | 1     | ar-sur.yaml, spend.tokens, 'many', Expected `int`  |
      | a missing team     | base.yaml           | 1     | trainers_by_name.appraiser.team, 'none', teams_by_name |
      | another value      | sites/ar-sur.yaml   | 1     | ar-sur.yaml, ar-centro.yaml, region                |
      | four faults        | base.yaml           | 4     | counters.share, appraiser.team, cotizador.timeout_s, live-answers.objective |
      | a bad name         | base.yaml           | 1     | teams_by_name.No Name                              |
