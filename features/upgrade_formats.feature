Feature: A new format is written only when all live instances read it

  # Guards against values that an instance of an earlier build, which announces
  # nothing, can't decode.
  Scenario Outline: all live instances must have announced a format
    Given the live instances "<live>" in their terms
    And the announcements "<announced>"
    Then the format is <read> by all

    Examples:
      | live    | announced                  | read     |
      |         |                            | not read |
      |         | a:1:job-organisation       | not read |
      | a:1     | a:1:job-organisation       | read     |
      | a:1     |                            | not read |
      | a:1     | a:1:other                  | not read |
      | a:1     | a:1:other+job-organisation | read     |
      | a:2     | a:1:job-organisation       | not read |
      | a:1 b:1 | a:1:job-organisation       | not read |
      | a:1 b:1 | a:1:job-organisation b:1:job-organisation | read |
      | a:1     | a:1:job-organisation b:1:other | read |

  # Guards against a registration that earlier builds can't decode: its array
  # must keep its four fields.
  Scenario: formats are announced beside the registration
    Given instances "a b" that have registered
    Then each knows the formats of both
    And the registrations are arrays of 4 texts

  Scenario Outline: an announcement that can't be read is none
    Given instances "a b" that have registered
    When the announcement of b is <value>
    Then a knows the formats of "<known>" only

    Examples:
      | value                                                | known |
      | []                                                   | a     |
      | {"term": "1"}                                        | a     |
      | {"term": "1", "formats": "x"}                        | a     |
      | {"term": "1", "formats": ["unknown"], "later": true} | a b   |
