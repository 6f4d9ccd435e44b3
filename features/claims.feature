Feature: Claims of idempotency keys run each key at most once

  Scenario Outline: <case>
    Given a shard that holds a claim "<held>"
    When an attempt asks <seconds> s later with the "<body>" body and the "<token>" token
    Then the claim's verdict is "<verdict>"

    Examples:
      | case                         | held    | seconds | body  | token | verdict           |
      | no claim                     | none    | 0       | same  | other | run               |
      | own claim after a lost reply | open    | 0       | same  | own   | run               |
      | claim under way              | open    | 1       | same  | other | in_progress       |
      | owner may no longer send     | open    | 31      | same  | other | unknown           |
      | outcome kept                 | settled | 31      | same  | other | replay            |
      | other body                   | open    | 0       | other | other | refuse_other_body |
      | other body, outcome kept     | settled | 0       | other | other | refuse_other_body |
      | released                     | freed   | 1       | same  | other | run               |
      | retention not over           | open    | 3600    | same  | other | unknown           |
      | retention over               | open    | 3700    | same  | other | run               |

  Scenario: No order of commits, lost answers, crashes and pauses runs a key twice
    Then a random search of the claims finds no key that ran twice

  Scenario: A shard that grows large is sealed, and expired parts go whole
    When 400 keys are claimed with outcomes of 700 bytes
    Then the shard has several parts, each below a megabyte
    And all parts but the last expire after the retention
    And each of the keys is found while it is retained

  Scenario: A delayed write of a claim that was taken back has no effect
    Given a shard that holds a claim "none"
    When a write of a claim is delayed and its attempt takes the claim back
    Then the delayed write has no effect and the key is free
