@platform
Feature: Streams of two software versions, with processes

  Scenario: streams go on at the version that began them after their instance is killed
    Given two further engines have software version v2
    And 12 streams of 150 events begin at edge-0, and each has brought 10 events
    When edge-0 is killed, and the streams are taken up at edge-1
    Then all 12 streams are whole, and none holds events of two versions
    And a stream that nobody knows is refused as not run by edge-1

  Scenario: streams go on at the version that began them after a kill of all instances
    Given all instances are ready
    And 12 streams of 300 events begin at edge-0, and each has brought 10 events
    When all instances are killed at once and start again, and the streams are taken up at edge-1
    Then all 12 streams are whole, and none holds events of two versions
    And a stream that nobody knows is refused as not run by edge-1

  Scenario: streams that begin after a kill of all instances go on
    Given all instances are ready
    And 12 streams of 150 events begin at edge-0, and each has brought 10 events
    When edge-0 is killed, and the streams are taken up at edge-1
    Then all 12 streams are whole, and none holds events of two versions

  Scenario: after a kill of all instances only streams of the version that is left go on
    Given all instances are ready
    And 12 streams of 300 events begin at edge-0, and each has brought 10 events
    When the engines of v1 are about to leave
    And all instances are killed at once and start again, and the streams are taken up at edge-1
    Then each stream of v1 is refused as not run, and the others are whole
