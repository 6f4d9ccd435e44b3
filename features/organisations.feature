Feature: Each request belongs to the organisation of its key

  Scenario Outline: the value of the header is checked
    Given the organisation "hule930" with the keys "k1,k2"
    When the header "<value>" is checked
    Then the key is <status>

    Examples:
      | value                  | status  |
      | Bearer k1              | valid   |
      | bearer k2              | valid   |
      |                        | none    |
      | Bearer                 | invalid |
      | Bearer k3              | invalid |
      | Bearer k1, Bearer k1   | invalid |
      | Bearer k1 k1           | invalid |
      | Basic k1               | invalid |
      | k1                     | invalid |

  Scenario: a key of 1 MB is an unknown key
    Given the organisation "hule930" with the keys "k1"
    When a header with a key of 1000000 characters is checked
    Then the key is invalid

  Scenario Outline: an invalid entry leaves the others as they are
    Given a configuration with the organisations <tenants>
    When it is decoded
    Then the keys of "good" are "<good>" and of "other" "<other>"
    And the log names "<logged>" and no key

    Examples:
      | tenants                                                                                              | good  | other | logged       |
      | [{"name": "good", "api_keys": ["g1"]}, {"name": "other", "api_keys": []}]                            | g1    |       | other        |
      | [{"name": "good", "api_keys": ["g1", "s"]}, {"name": "other", "api_keys": ["o1", "s"]}]              | g1    | o1    | good, other  |
      | [{"name": "good", "api_keys": ["g1"]}, {"name": "good", "api_keys": ["g2"]}]                         | g1,g2 |       | good         |
      | [{"name": "good", "api_keys": ["g1"]}, 5, {"api_keys": ["o1"]}, {"name": "a\nb", "api_keys": ["x"]}] | g1    |       | no valid name |
      | [{"name": "good", "api_keys": ["g1", 7, "", "a b", "a,b"]}, {"name": "other", "api_keys": "o1"}]     | g1    |       | good         |
      | [{"name": "good", "api_keys": ["g1"], "priority": "x"}]                                              | g1    |       | good         |
      | "good"                                                                                               |       |       | not a list   |

  Scenario Outline: keys are required only where the configuration has organisations
    Given a configuration whose field for organisations is <state>
    When it is decoded
    Then requests need <needed>

    Examples:
      | state  | needed |
      | absent | no key |
      | []     | a key  |

  Scenario Outline: an organisation's priority goes before that of the route
    Given the organisation "hule930" with the priority "<own>"
    Then its requests on a route of priority 5 have priority <used>

    Examples:
      | own | used |
      | 0   | 0    |
      | 9   | 9    |
      |     | 5    |

  # Guards against requests of unknown callers, and against keys at targets.
  Scenario Outline: a request reaches a target only with a valid key, as its organisation's
    Given instances with the keys "k1" of "x" and "k2" of "y"
    When a <kind> with the header "<value>" is sent on a <route> route
    Then it is answered with <status> "<code>"
    And the target saw the organisation "<organisation>" and no key

    Examples:
      | kind   | route   | value     | status | code     | organisation |
      | call   | private | Bearer k1 | 200    |          | x            |
      | call   | private |           | 401    | no_token | -            |
      | call   | private | Bearer k9 | 401    | no_token | -            |
      | call   | public  |           | 200    |          |              |
      | call   | public  | Bearer k9 | 200    |          |              |
      | call   | public  | Bearer k2 | 200    |          | y            |
      | call   | missing | Bearer k9 | 404    | not_found | -           |
      | stream | private | Bearer k2 | 200    |          | y            |
      | stream | private | Bearer k9 | 401    | no_token | -            |
      | stream | public  |           | 200    |          |              |
      | job    | private | Bearer k1 | 202    |          | x            |
      | job    | private |           | 401    | no_token | -            |
      | job    | public  | Bearer k9 | 202    |          |              |

  Scenario Outline: a configuration that may be old refuses nobody for good
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And the configuration may be out of date
    When a call with the header "<value>" is sent on a <route> route
    Then it is answered with <status> "<code>"

    Examples:
      | value     | route   | status | code           |
      | Bearer k1 | private | 200    |                |
      | Bearer k9 | private | 503    | not_configured |
      |           | private | 503    | not_configured |
      | Bearer k9 | public  | 200    |                |
      | Bearer k1 | missing | 503    | not_configured |

  Scenario: without a configuration everything is refused for now
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And there is no configuration yet
    When a call with the header "Bearer k1" is sent on a private route
    Then it is answered with 503 "not_configured"
    When "j9" is read with the header "Bearer k1"
    Then it is answered with 503 "not_configured"

  Scenario: without organisations all headers pass and nobody needs a key
    Given instances without organisations
    When a call with the header "Bearer k9" is sent on a private route
    Then it is answered with 200 ""
    And the target got the caller's own headers

  # Guards against a new key that the older table refuses for good, in the time
  # between the read of a configuration and its coming into force.
  Scenario: a configuration counts as current only once it is in force
    Given instances with the keys "k1" of "x" and "k2" of "y"
    When a watcher reads a configuration with the key "k3" after an outage
    Then it counted as possibly out of date until that key was in force

  Scenario: a key is removed while its connection stays open
    Given instances with the keys "k1" of "x" and "k2" of "y"
    When a call with the header "Bearer k1" is sent on a private route
    Then it is answered with 200 ""
    When the key "k1" is replaced by "k3"
    And a call with the header "Bearer k1" is sent on a private route
    Then it is answered with 401 "no_token"
    When a call with the header "Bearer k3" is sent on a private route
    Then it is answered with 200 ""

  Scenario Outline: only its organisation uses a job, through any instance
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And a job "j1" that was submitted with the header "Bearer k1" on a private route
    When it is used at <instance> by each call of a job with the header "<value>"
    Then each call is answered with <status> "<code>"

    Examples:
      | instance | value     | status | code      |
      | a        | Bearer k1 | 200    |           |
      | b        | Bearer k1 | 200    |           |
      | a        | Bearer k2 | 404    | not_found |
      | b        | Bearer k2 | 404    | not_found |
      | a        |           | 401    | no_token  |
      | b        | Bearer k9 | 401    | no_token  |

  Scenario: a job that does not exist is not told from one that needs a key
    Given instances with the keys "k1" of "x" and "k2" of "y"
    When "j9" is read with the header "Bearer k9"
    Then it is answered with 401 "no_token"
    When "j9" is read with the header "Bearer k1"
    Then it is answered with 404 "not_found"

  Scenario Outline: a job of a public route needs no key, but hides from others
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And a job "j1" that was submitted with the header "<owner>" on a public route
    When it is used at b by each call of a job with the header "<value>"
    Then each call is answered with <status> "<code>"

    Examples:
      | owner     | value     | status | code      |
      |           |           | 200    |           |
      | Bearer k1 |           | 200    |           |
      | Bearer k1 | Bearer k2 | 404    | not_found |

  Scenario: a job outlives its key and its holder
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And a job "j1" that was submitted with the header "Bearer k1" on a private route
    When the key "k1" is replaced by "k3"
    And its holder is lost and b takes it over
    Then all its items ran as "x"
    When it is used at b by each call of a job with the header "Bearer k3"
    Then each call is answered with 200 ""
    When it is used at b by each call of a job with the header "Bearer k2"
    Then each call is answered with 404 "not_found"

  Scenario: the check of a job costs no call to the store
    Given instances with the keys "k1" of "x" and "k2" of "y"
    And a job "j1" that was submitted with the header "Bearer k1" on a private route
    When "j1" is read at b with the header "Bearer k1"
    And the calls to the store are counted
    And "j1" is read at a with the header "Bearer k2"
    And "j1" is read at b with the header "Bearer k2"
    Then it is answered with 404 "not_found"
    And the instances made 0 calls to the store

  Scenario: records without an organisation are as in earlier builds
    Given instances without organisations
    And a job "j1" that was submitted with the header "Bearer k1" on a private route
    Then the stored head and contents have the fields of earlier builds

  Scenario Outline: the adapter sends the organisation and never the key
    Given a <client> of an instance that has <state>
    When it sends a request of "<organisation>" that carries a key
    Then the headers that name the caller are "<sent>"

    Examples:
      | client | state            | organisation | sent                                             |
      | target | organisations    | x            | X-Tenant: x                                      |
      | target | organisations    |              |                                                  |
      | target | no organisations | x            | X-Tenant: x                                      |
      | target | no organisations |              | Authorization: Bearer k, X-Tenant: forged        |
      | peer   | organisations    | x            | Hibiscuspin-Organisation: x                      |
      | peer   | organisations    |              |                                                  |
      | peer   | no organisations |              | Authorization: Bearer k, X-Tenant: forged        |

  Scenario Outline: a relayed request keeps its organisation and is not checked again
    Given instances with the keys "k1" of "x" and "k2" of "y"
    When another instance sends on a <kind> of "<organisation>"
    Then it is answered with 200 ""
    And the target saw the organisation "<organisation>" and no key

    Examples:
      | kind   | organisation |
      | call   | x            |
      | call   | unknown      |
      | stream | x            |

  # A rotated key must not clear the crashes that were counted under a request.
  Scenario: a request that crashes targets is recognised after its key was replaced
    Given instances with the keys "k1" of "x" and "k2" of "y"
    Then requests with the keys "k1" and "k3" of "x" have the same fingerprint
    And requests with the keys "k1" and "k2" of "x" and "y" do not

  Scenario: requests and refusals are counted for the 50 most frequent organisations
    When 60 organisations send requests, number n of them n times
    Then the 50 organisations with the most requests have counts of their own
    And the counts add up to all requests
    And no count has fallen on the way
