Feature: Clients of hibiscuspind that don't behave end no process

  Scenario Outline: <count> clients of the <interface> interface that send <what>
    Given a daemon with <memory> MB
    When <count> clients of the <interface> interface send <what>
    Then an ordinary completion is answered
    And the daemon lives within its memory and 1300 descriptors

    Examples:
      | count | memory | interface | what                             |
      | 16    | 128    | caller    | bodies of 15 MB that lack a byte |
      | 16    | 128    | trainer   | bodies of 15 MB that lack a byte |
      | 16    | 128    | admin     | bodies of 15 MB that lack a byte |
      | 16    | 96     | caller    | bodies of 3 MB of empty arrays   |
