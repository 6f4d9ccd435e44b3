Feature: Rendezvous hashing moves few keys

  Scenario Outline: <names> names lose or gain one
    Given 2000 keys over <names> names
    When one name <change>
    Then only keys of that name move

    Examples:
      | names | change  |
      | 2     | leaves  |
      | 7     | leaves  |
      | 7     | arrives |
      | 41    | arrives |
