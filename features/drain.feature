@fleet
Feature: A leaving target gets no new work, whichever way it is told first

  Scenario Outline: a replica that leaves by <way>
    Given 24 callers that send quotes through both instances
    When "cotizador-cba-a-1" is told to leave by "<way>"
    Then it gets nothing new after 3 s, and no caller is refused
    And both instances show it as draining

    Examples:
      | way         |
      | order       |
      | list        |
      | own refusal |
