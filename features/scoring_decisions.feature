Feature: Decisions on scoring complete samples

  Scenario Outline: whole groups are scored first where a service has too few slots
    Given <groups> groups of <size> samples whose texts end in any order within 2 s
    When <slots> slots score a sample in 0.2 s each until the due time in <due> s
    Then <more> groups more are whole in time than first come, first served

    Examples: two of sixteen targets left, one left, and slots for all
      | groups | size | slots | due | more |
      | 32     | 8    | 9     | 4   | 15   |
      | 32     | 8    | 5     | 4   | 10   |
      | 16     | 4    | 9     | 2   | 0    |

  Scenario: the earlier step is scored first among groups of one size
    Given samples to score "1:2:7.5 2:1:11.5 3:1:7.5 4:1:7.5"
    Then they are scored in the order "3 4 2 1"

  Scenario Outline: scoring leaves slots to callers and probes a full service
    Given a service with <slots> slots of which <free> are free
    Then with <running> scoring calls in flight <more> more may start

    Examples:
      | slots | free | running | more |
      | 18    | 18   | 0       | 13   |
      | 18    | 8    | 5       | 3    |
      | 18    | 5    | 5       | 0    |
      | 18    | 18   | 13      | 0    |
      | 18    | 0    | 0       | 1    |
      | 18    | -4   | 2       | 0    |
      | 0     | 0    | 0       | 1    |

  Scenario Outline: what follows a failed attempt to score a sample
    Given a sample with <failures> failed attempts and <errors> server errors
    When at most <most_failures> failures and <most_errors> server errors are allowed
    Then a retry that is suggested after <suggested> s is <decision>

    Examples:
      | failures | errors | most_failures | most_errors | suggested | decision    |
      | 1        | 0      | no            | 4           | 0.0       | after 0.1 s |
      | 2        | 1      | no            | 4           | 0.0       | after 0.2 s |
      | 9        | 3      | no            | 4           | 0.0       | after 2 s   |
      | 1        | 0      | no            | 4           | 0.7       | after 0.7 s |
      | 1        | 4      | no            | 4           | 0.0       | given up    |
      | 8        | 0      | 8             | no          | 0.0       | given up    |
      | 7        | 0      | 8             | no          | 0.0       | after 2 s   |

  Scenario Outline: a text that waits long for its score is saved by itself
    Given <events> new events and a text that has waited <waited> s
    When samples were saved <ago> s ago
    Then saving them is <due>

    Examples:
      | events | waited | ago | due     |
      | 60     | 0.0    | 0.7 | due     |
      | 59     | 0.0    | 0.7 | not due |
      | 60     | 0.0    | 0.6 | not due |
      | 0      | 1.0    | 0.7 | due     |
      | 0      | 0.9    | 0.7 | not due |
      | 0      | 1.0    | 0.6 | not due |

  Scenario Outline: the failures of a period are recorded together
    When of <count> samples the last failure is not on record, <ago> s after a record
    Then recording them is <due>

    Examples:
      | count | ago | due     |
      | 0     | 9.0 | not due |
      | 1     | 0.2 | due     |
      | 50    | 0.0 | not due |
