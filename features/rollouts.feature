Feature: Rollouts are fresh, attributed and handed over once

  Scenario Outline: pull with <case>
    Given a step of <total> slots with cursor <cursor>, acknowledged "<acked>" and pending "<pending>"
    When the trainer pulls after <after> while "<ready>" are ready and flush is <flush>
    Then the pull verdict is <verdict> with batch "<batch>"

    Examples:
      | case                       | total | cursor | acked | pending | after | ready | flush | verdict    | batch |
      | nothing ready              | 4     | 0      |       |         | 0     |       | yes   | wait       |       |
      | a batch that can grow      | 4     | 0      |       |         | 0     | 0 1   | no    | wait       |       |
      | the wait at its end        | 4     | 0      |       |         | 0     | 0 1   | yes   | commit     | 0 1   |
      | all that is left           | 4     | 1      |       | 0 1     | 1     | 2 3   | no    | commit     | 2 3   |
      | the last batch still held  | 4     | 1      |       | 0 1     | 1     | 0 1 2 | yes   | commit     | 2     |
      | the cursor before          | 4     | 1      |       | 0 1     | 0     | 0 1 2 | yes   | repeat     | 0 1   |
      | a repeat with lost samples | 4     | 1      |       | 0 1     | 0     | 0 2   | yes   | wait       | 0 1   |
      | all acknowledged           | 4     | 2      | 0 1   | 2 3     | 2     |       | no    | complete   |       |
      | a cursor from long ago     | 4     | 3      | 0 1   | 2       | 1     | 3     | yes   | bad_cursor | 2     |
      | a cursor not given yet     | 4     | 1      |       | 0       | 2     | 1     | yes   | bad_cursor | 0     |
      | an open step               | open  | 1      |       | 0 1     | 1     |       | yes   | wait       | 0 1   |
      | a step without slots       | 0     | 0      |       |         | 0     |       | no    | complete   |       |

  Scenario Outline: oldest version allowed <case>
    Then with version <current>, bound <bound>, <ahead> steps ahead and <rate> versions a step the least version is <least>

    Examples:
      | case                        | current | bound | ahead | rate | least |
      | at the hand-over            | 7       | 2     | 0     | 1    | 5     |
      | one step ahead              | 7       | 2     | 1     | 1    | 6     |
      | beyond the bound            | 7       | 2     | 3     | 1    | 8     |
      | with a version each 4 steps | 7       | 1     | 2     | 0.25 | 7     |
      | with bound zero             | 7       | 0     | 0     | 1    | 7     |

  Scenario Outline: look-ahead "<variant>" for weights <staleness>/<idle>
    Then look-ahead "<variant>" with bound <bound>, <rate> versions a step and weights <staleness>/<idle> allows <slots> slots of a 100-slot step

    Examples:
      | variant  | bound | rate | staleness | idle | slots |
      | none     | 2     | 1    | 0.3       | 0.7  | 0     |
      | weighted | 2     | 1    | 0.7       | 0.3  | 60    |
      | weighted | 2     | 1    | 0.3       | 0.7  | 140   |
      | weighted | 2     | 2    | 0.3       | 0.7  | 70    |
      | weighted | 0     | 1    | 0.0       | 1.0  | 0     |

  Scenario Outline: redispatch "<variant>" of a generation <case>
    Then redispatch "<variant>" of <tokens> tokens in <elapsed> s after <moves> moves, usual <usual> s a token, <spent> spent and <wasted> wasted, <verdict>

    Examples:
      | variant   | case                  | tokens | elapsed | moves | usual | spent | wasted | verdict |
      | move_slow | at the usual pace     | 10     | 0.1     | 0     | 0.01  | 1000  | 0      | stays   |
      | move_slow | at ten times the pace | 4      | 0.4     | 0     | 0.01  | 1000  | 0      | moves   |
      | move_slow | moved too often       | 4      | 0.4     | 3     | 0.01  | 1000  | 0      | stays   |
      | move_slow | with no waste left    | 4      | 0.4     | 0     | 0.01  | 1000  | 49     | stays   |
      | none      | at ten times the pace | 4      | 0.4     | 0     | 0.01  | 1000  | 0      | stays   |

  Scenario Outline: dispatch order "<variant>"
    Then order "<variant>" sends slots of lengths "<lengths>" in groups of 2 as "<sent>"

    Examples:
      | variant       | lengths     | sent    |
      | fifo          | 10 10 40 40 | 0 1 2 3 |
      | longest_first | 10 10 40 40 | 2 3 0 1 |
      | longest_first | 40 40 40 40 | 0 1 2 3 |

  Scenario: trainers share threads by their declared shares
    Then of 300 starts for trainers with shares 2 and 1 they get 200 and 100

  Scenario: no order of faults loses or doubles a slot
    Then 60 random histories of two holders, lost answers, outages and repeated pulls deliver each slot once

  # Guards against a trainer that is told "not run" of a call that takes effect.
  Scenario Outline: a trainer that <call> hears whether that may take effect
    Given a store that <answers> at the next writes
    When a trainer <call>
    Then it is told "store_unavailable", and whether it ran is "<ran>"

    Examples:
      | call                | answers                | ran     |
      | submits prompts     | takes late             | unknown |
      | submits prompts     | takes late and is down | unknown |
      | submits prompts     | refuses                | no      |
      | publishes a version | takes late             | unknown |
      | publishes a version | refuses                | no      |
      | rolls weights out   | refuses                | unknown |

  Scenario: no order of publications hands over a stale sample
    Then 60 random histories of publications and pulls hand over no sample over the bound

  Scenario Outline: an untagged engine that <case>
    Given an engine without version tags that serves versions "<versions>"
    When a rollout of 4 tokens runs on it
    Then the sample's spans are "<spans>" after <segments> segments

    Examples:
      | case                    | versions | spans   | segments |
      | keeps its weights       | 3 3      | 3:0-4   | 1        |
      | swaps while it streams  | 3 4 4 4  | 4:0-4   | 2        |
      | comes back with old ones| 3 1 3 3  | 3:0-4   | 2        |

  Scenario Outline: a tagged engine that <case>
    Given an engine that tags versions and streams "<streams>"
    When a rollout of 4 tokens runs on it while version <least> is the oldest allowed
    Then the sample's spans are "<spans>" after <segments> segments

    Examples:
      | case                       | streams         | least | spans       | segments |
      | swaps in the middle        | 3 3 4 4         | 1     | 3:0-2 4:2-4 | 1        |
      | crashes and resumes        | 3 3 cut / 4 4   | 1     | 3:0-2 4:2-4 | 2        |
      | came back with old weights | 1 / 3 3 3 3     | 2     | 3:0-4       | 2        |
      | leaves a gap               | 3 gap 3 / 3 3 3 | 1     | 3:0-4       | 2        |

  Scenario Outline: scoring when the scorer <case>
    Given a scorer that fails <failures> times
    Then a sample is scored <reward> after <tries> tries

    Examples:
      | case              | failures | reward | tries |
      | answers           | 0        | 0.5    | 1     |
      | fails twice       | 2        | 0.5    | 3     |

  Scenario: a trainer that does not pull stops generation
    Given a trainer whose samples are 1 MB each
    Then at most 8 samples are started before it pulls

  Scenario Outline: the check of delivered samples finds <fault>
    Given 4 samples that one engine generated at version 3
    When the trainer at version <version> received them with <fault>
    Then the check counts <lost> lost, <doubled> doubled, <over> over a bound of 2 and <wrong> with a wrong version

    Examples:
      | fault           | version | lost | doubled | over | wrong |
      | nothing wrong   | 5       | 0    | 0       | 0    | 0     |
      | one missing     | 5       | 1    | 0       | 0    | 0     |
      | one twice       | 5       | 0    | 1       | 0    | 0     |
      | all too old     | 6       | 0    | 0       | 4    | 0     |
      | another version | 5       | 0    | 0       | 0    | 1     |
      | a token more    | 5       | 0    | 0       | 0    | 1     |
