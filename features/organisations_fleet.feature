@platform
Feature: Keys of organisations, with processes

  # Guards against a key that is refused, or still served, 4 s after the
  # configuration that added or removed it, on a connection that stays open.
  Scenario: keys come and go with versions of the configuration
    Given the key "k1" of "x" is in force at all instances
    When the key "k1" is replaced by "k2" while connections stay open
    Then within 4 s "k2" is served and "k1" gets 401 at all instances
    And the engines saw only the organisation "x" and no key

  Scenario Outline: headers that name no key are refused over the wire
    Given the key "k1" of "x" is in force at all instances
    When a caller sends the header lines "<lines>" to edge-0
    Then the caller gets <status>

    Examples:
      | lines                                           | status |
      | Authorization: Bearer k1                        | 200    |
      | authorization:   bearer k1                      | 200    |
      | Authorization: Bearer k1;Authorization: Bearer k1 | 401  |
      | Authorization: Basic k1                         | 401    |
      | X-Tenant: x                                     | 401    |
      | Hibiscuspin-Organisation: x                     | 401    |

  Scenario: a key that exceeds the limit on headers leaves the instance as it was
    Given the key "k1" of "x" is in force at all instances
    When a caller sends a key of 1000000 characters to edge-0
    Then the caller gets 431 or its connection is closed
    And the key "k1" is served at edge-0

  Scenario: with the store out known keys are served and others not refused for good
    Given the key "k1" of "x" is in force at all instances
    When the key-value service turns all callers away
    Then within 4 s "k1" is served and "k9" gets 503 at all instances
    When the key-value service is back
    Then within 6 s "k1" is served and "k9" gets 401 at all instances

  Scenario: a configuration that can't be read refuses no key for good
    Given the key "k1" of "x" is in force at all instances
    When a configuration that can't be read is written
    Then within 4 s "k1" is served and "k9" gets 503 at all instances
