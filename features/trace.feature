Feature: All log lines on one id

  Scenario: lines of several instances are put in order
    Given log files of two instances
    When an operator traces "r1"
    Then lines "first second third" are shown in this order

  Scenario: an id that is part of a list is found
    Given log files of two instances
    When an operator traces "t9"
    Then lines "second" are shown in this order

  Scenario Outline: a sample and the call that scored it are shown together
    Given log files of two instances
    When an operator traces "<id>"
    Then lines "made scored called" are shown in this order

    Examples:
      | id |
      | i7 |
      | c7 |

  Scenario Outline: the requests of an organisation are found, and it is shown
    Given log files of two instances
    When an operator traces "<id>"
    Then lines "refused" are shown in this order
    And "organisation=hule930" is shown

    Examples:
      | id      |
      | r8      |
      | hule930 |

  Scenario: an id that only begins another is not found
    Given log files of two instances
    When an operator traces "r"
    Then the trace fails and names "r"
