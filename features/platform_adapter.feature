Feature: The adapter decodes the platform's names once

  Scenario: a settings file is read under the project's names
    Given the platform's settings file of an entry machine
    When the settings are read
    Then the instance is "edge-a-1" in "cba-a" with store "10.200.1.7:8266"
    And peers call it at "10.1.0.10:7300" and callers at "10.1.0.10:8263"

  Scenario: fields that are not known are ignored
    Given the platform's settings file of an entry machine
    And its field "novel" is "7"
    When the settings are read
    Then the instance is "edge-a-1" in "cba-a" with store "10.200.1.7:8266"

  Scenario Outline: a wrong settings file is refused with all its problems
    Given the platform's settings file of an entry machine
    And its field "<field>" is "<value>"
    And its field "bounds" is "1"
    When the settings are read
    Then reading fails and names "<field>" and "bounds.grace_s"

    Examples:
      | field          | value |
      | node_name      |       |
      | zone           | 5     |
      | internal_ports | x     |
      | zones          | []    |

  Scenario: a settings file that is missing is refused
    When the settings of a missing file are read
    Then reading fails and names "No such file" and "missing"

  Scenario: a program with a missing settings file ends with code 2
    When the program starts without a settings file
    Then it exits with code 2 and says why in one line

  Scenario Outline: an entry that names no target is passed over
    When an entry "<entry>" is decoded
    Then it names <what>

    Examples:
      | entry                                                             | what      |
      | service=s,address=10.0.0.1:80,zone=a,slots=4,state=ready          | a target  |
      | service=s,address=10.0.0.1:80,zone=a,slots=4,state=draining       | a leaving target |
      | service=s,address=10.0.0.1:80,zone=a,slots=4,state=resting        | no target |
      | service=s,address=10.0.0.1:80,zone=a,slots=x,state=ready          | no target |
      | service=s,address=10.0.0.1,zone=a,slots=4,state=ready             | no target |
      | address=10.0.0.1:80,zone=a,slots=4,state=ready                    | no target |
      | service=1,address=10.0.0.1:80,zone=a,slots=4,state=ready          | no target |
      | service=s,address=10.0.0.1:80,slots=4,state=ready                 | no target |
      | not json                                                          | no target |
      | a list                                                            | no target |
      | bytes                                                             | no target |

  Scenario: a configuration is decoded into routes
    Given the platform's configuration of version 7
    When it is decoded
    Then "/lohu930/" is repeatable within 2.5 s, at most 2 attempts, split 90 to 10
    And "/pufi791/" takes jobs due in 7.5 s whose events have 57 tokens

  Scenario Outline: a configuration that can't be read changes nothing
    Given the platform's configuration of version 7
    And its configuration field "<field>" is broken
    When it is decoded
    Then there is no configuration

    Examples:
      | field   |
      | version |
      | routes  |
      | limits  |

  Scenario: an older configuration never replaces a newer one
    Given the platform's configuration of version 7
    When it is decoded and put in force after version 9
    Then version 9 is in force

  Scenario Outline: an unknown path is refused only by a configuration that is current
    Given routes in force that are <state>
    When the path "/nowhere/" is looked up
    Then the caller is refused with <status>

    Examples:
      | state            | status |
      | current          | 404    |
      | perhaps old      | 503    |
      | not there yet    | 503    |

  Scenario: a batch job is decoded and its results are encoded
    Given the platform's batch job
    When the job is decoded
    Then its item asks for "/pufi791/3/91c4" with 1368 tokens of model "m1"
    And results from 12 on are encoded with next 13

  Scenario Outline: a bad batch job is refused
    Given the platform's batch job
    And the job's <part> is broken
    When the job is decoded
    Then it is bad with "<code>"

    Examples:
      | part    | code      |
      | json    | bad_json  |
      | items   | bad_field |
      | item id | bad_field |
      | body    | bad_field |
      | id      | bad_field |

  Scenario: the reward call of an item is decoded and its score is encoded
    Given the platform's batch job
    And its first item has a scorer
    When the job is decoded
    Then its reward call goes to host "h2" and path "/pufi791/5e07" with id "40c8"
    And the score of a result is encoded as it was received

  Scenario Outline: a bad scorer is refused with its item and field
    Given the platform's batch job
    And its first item has a scorer whose <field> is <value>
    When the job is decoded
    Then it is bad with "bad_field"
    And the error names the item and "<named>"

    Examples:
      | field | value   | named                    |
      | all   | "x"     | scorer must be an object |
      | id    | ""      | id must be               |
      | id    | 5       | id must be               |
      | host  | null    | host must be             |
      | path  | ""      | path must be             |
      | body  | "%"     | body must be base64      |
      | body  | 7       | body must be base64      |

  Scenario: two items with one reward call are refused
    Given the platform's batch job
    And its items have a scorer with the same id
    When the job is decoded
    Then it is bad with "bad_field"

  Scenario: no name of the platform stands outside its folder
    Then only the adapter and its tests know the platform's names
    And only the adapter's own modules import it
