Feature: Job holders exchange loads with one another, not with all instances

  Scenario Outline: which instances a holder asks
    Given instances "b c d e f" besides the holder a
    And the holders "<holders>" and the coordinator "<coordinator>"
    When a is to ask <whom> and the coordinator <answers>
    Then it asks "<asked>"

    Examples:
      | holders | coordinator | whom    | answers        | asked     |
      | c       | e           | all     | has answered   | c e       |
      | c       | e           | holders | has answered   | c e       |
      | c       | e           | all     | does not answer | b c d e f |
      | c       | e           | holders | does not answer | c e       |
      | c       | none        | all     | does not answer | b c d e f |
      | none    | none        | holders | does not answer | none      |

  Scenario: a holder that no longer reports is forgotten
    Given holders that reported "a:0.0 b:1.0 c:2.0"
    Then the active holders at 2.4 are "b c"
    And the active holders at 3.6 are "none"

  Scenario: three holders among two hundred instances find one another
    Given 200 instances, one of which coordinates
    And 3 of them hold jobs
    When the holders exchange their loads for 3 periods
    Then each holder knows the loads of the other 2
    And the holders made no more than 30 calls
    When the coordinator clears an engine of samples
    Then only the 3 holders were told

  Scenario Outline: ended jobs make room for a further one, the oldest first
    Given ended jobs of <sizes> bytes, each submitted after the one before
    When a further job lacks <excess> bytes
    Then the ended jobs "<dropped>" are dropped

    Examples:
      | sizes    | excess | dropped |
      | 10 20 30 | 0      | none    |
      | 10 20 30 | 1      | 0       |
      | 10 20 30 | 11     | 0 1     |
      | 10 20 30 | 60     | 0 1 2   |
      | 10 20 30 | 61     | none    |
