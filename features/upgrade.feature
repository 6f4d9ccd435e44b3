@platform
Feature: Instances of two builds side by side, with processes

  # Builds are unpacked from the repository's history: 7d34c2e is that of the
  # last landing, e719629 the last one before organisations.

  # Guards against a value that one of the builds writes and the other can't
  # read, so that jobs or the duty stay with a stopped instance.
  Scenario Outline: jobs and the coordinator's duty pass between builds
    Given edge-0 runs the working tree and edge-1 runs commit <commit>
    When job "<commit>-a" begins at edge-1, and is read through edge-0
    And edge-1 is stopped while edge-0 serves calls
    Then edge-1 has handed the job over to edge-0, which has the coordinator's duty
    And every result is listed once at edge-0, where it was read before
    When edge-1 starts again from commit <commit>
    And job "<commit>-b" begins at edge-0, and is read through edge-1
    And edge-0 is stopped while edge-1 serves calls
    Then edge-0 has handed the job over to edge-1, which has the coordinator's duty
    And every result is listed once at edge-1, where it was read before
    When edge-0 starts again from the working tree
    Then both jobs are read, and ended, through either build
    And neither build failed to decode what the other one wrote

    Examples:
      | commit  |
      | 7d34c2e |
      | e719629 |

  # Guards against streams that the other build refuses, since it was not told
  # what began them.
  Scenario Outline: streams are taken up at the other build
    Given edge-0 runs the working tree and edge-1 runs commit <commit>
    And engines of two software versions
    And 6 streams of 120 events begin at <first>, and each has brought 10 events
    When <first> is killed, and the streams are taken up at <second>
    Then all 6 streams are whole, and none holds events of two versions

    Examples:
      | commit  | first  | second |
      | 7d34c2e | edge-1 | edge-0 |
      | 7d34c2e | edge-0 | edge-1 |

  # Guards against calls, streams or results that are cut or lost in the course
  # of an upgrade.
  Scenario: old instances are replaced one after the other under load
    Given edge-0 runs commit 7d34c2e and edge-1 runs commit 7d34c2e
    When each is stopped and started from the working tree under load
    Then no call failed, and the streams and jobs of the upgrade are whole
    And neither build failed to decode what the other one wrote
