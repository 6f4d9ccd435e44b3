@platform
Feature: An odd entry of another writer costs that entry alone

  # Guards against machines that stop following the list of targets, or that
  # never get ready, since one entry ends each read of it.
  Scenario: odd entries beside the targets leave the list in use
    Given odd entries of each sort beside the targets
    When target p-2 of the service "app" joins
    And edge-1 is killed and started again
    Then both instances send calls to p-2 within 8 s
    And no task of the instances has failed
    And each instance has logged each odd entry once, with key and reason

  Scenario Outline: an entry with an odd field names no target
    Then an entry with <field> <value> is refused with "<reason>"

    Examples:
      | field   | value                                                | reason            |
      | slots   | a number of 400 digits                               | slots: expected   |
      | slots   | 1180591620717411303424                               | slots: expected   |
      | slots   | true                                                 | slots: expected   |
      | slots   | 0                                                    | slots: expected   |
      | slots   | 1.5                                                  | slots: expected   |
      | born    | 1180591620717411303424                               | born: expected    |
      | born    | -1                                                   | born: expected    |
      | born    | "1"                                                  | born: expected    |
      | address | "10.0.0.1:99999"                                     | address: expected |
      | address | "10.0.0.1:0"                                         | address: port 0   |
      | address | "10.0.0.1:7\u00b2"                                   | address:          |
      | address | "10.0.0.1\u0001:70"                                  | address:          |
      | address | "a.example:70"                                       | address:          |
      | address | a text of 300 characters                             | address:          |
      | address | 7                                                    | address: expected |
      | address | null                                                 | address: expected |
      | models  | [{"name": "m", "version": 1208925819614629174706176}] | version: expected |
      | models  | [{"name": "m", "version": "1"}]                      | version: expected |
      | models  | [7]                                                  | has no attribute  |
      | models  | 7                                                    | not iterable      |
      | version | 7                                                    | version: expected |
      | version | a text of 300 characters                             | version: expected |
      | service | a text of 300 characters                             | service: expected |
      | zone    | {}                                                   | zone: expected    |
      | state   | []                                                   | state: expected   |
      | state   | "gone"                                               | state: expected   |

  Scenario Outline: an entry of odd bytes names no target
    Then an entry that is <bytes> is refused with "<reason>"

    Examples:
      | bytes                 | reason           |
      | lists in lists        | recursion        |
      | objects in objects    | recursion        |
      | no text               | malformed        |
      | empty                 | truncated        |
      | a list                | expected a table |
      | null                  | expected a table |
      | longer than any entry | entry of         |

  Scenario: an entry whose key can't be sent in a header names no target
    Then an entry under the key "a\r\nb" is refused with "key: expected"

  Scenario Outline: numbers that no target sends fail their call alone
    Given a target whose stream sends "<event>"
    When an instance opens and reads the stream
    Then it fails with "expected a number"

    Examples:
      | event                                                  |
      | id: 99999999999999999999\ndata: x\n\n                  |
      | x-weight-versions: 99999999999999999999\ndata: x\n\n   |

  Scenario: the heads of jobs can be read beside one that is nested deeply
    Given instances a, b and c before 2 engines of 8 places
    When a accepts a job of 2 groups of 4 samples with 5 events
    And a head with a deeply nested field stands beside it
    Then the heads of the jobs can be read, without that one
