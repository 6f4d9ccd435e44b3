Feature: Instances tell one another their newest snapshots

  Background:
    Given peer hubs "a-1, a-2, a-3" in a line

  Scenario: A snapshot passes over a neighbour
    When hub "a-1" publishes "one" on "members"
    Then hub "a-3" hears "one" from "a-1" on "members"

  Scenario: Only the newest snapshot is delivered to a later neighbour
    When hub "a-1" publishes "old" on "members"
    And hub "a-1" publishes "new" on "members"
    And hub "a-4" joins next to "a-3"
    Then hub "a-4" hears "new" from "a-1" on "members"
    And hub "a-4" never heard "old"

  Scenario: A local topic stays inside its data centre
    When hub "b-1" of another data centre joins next to "a-3"
    And hub "a-1" publishes "here" on "loads"
    And hub "a-1" publishes "everywhere" on "members"
    Then hub "b-1" hears "everywhere" from "a-1" on "members"
    And hub "a-3" hears "here" from "a-1" on "loads"
    And hub "b-1" never heard "here"

  Scenario Outline: A call tells why it gave no result
    When hub "a-1" calls "<method>" on "<instance>" within <timeout> s
    Then the peer call gives "<result>"

    Examples:
      | method  | instance | timeout | result           |
      | echo    | a-2      | 5       | echoed           |
      | missing | a-2      | 5       | unknown_method   |
      | broken  | a-2      | 5       | failed           |
      | slow    | a-2      | 0.3     | timeout          |
      | echo    | nowhere  | 5       | unknown_instance |
      | echo    | gone     | 5       | unreachable      |

  Scenario: A stranger's call is refused
    When a stranger calls "echo" on "a-2"
    Then the peer call gives "failed"

  Scenario: A link ends although a message is queued as its stream ends
    When streams end up to 5 turns of the event loop after a message is queued
    Then their links end within 2 s
