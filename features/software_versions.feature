Feature: What two software versions of a target write is not joined

  Scenario Outline: a stream that its caller takes up again goes on at the version that began it, after <event>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after <event>
    Then no stream holds events of two software versions
    And <whole> of the 24 streams were whole at the end
    And each refusal says that the request has not run

    Examples:
      | event                                        | whole       |
      | nothing else                                 | all         |
      | a is killed                                  | all         |
      | b starts again                               | all         |
      | a, b and c start again in turn               | all         |
      | an engine of each version is gone            | all         |
      | v1 has no engine left                        | some        |
      | all instances start again at once            | some        |
      | all instances but c are killed               | all         |
      | all instances are killed                     | all         |
      | c was cut off from the other instances       | some        |

  Scenario: after all instances were killed only streams of a version that is left go on
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after all instances are killed while v1 leaves
    Then no stream holds events of two software versions
    And all streams of v2 were whole at the end
    And some of the 24 streams were whole at the end
    And each refusal says that the request has not run
    And a refusal takes at most 0.3 s

  # Nobody knows any more what began a stream, so each guess may be wrong, also
  # when only one version is left.
  Scenario Outline: no stream whose origin was not stored goes on by a guess, after <event>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And the store is down
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after <event>
    Then no stream holds events of two software versions
    And no stream goes on
    And each refusal says that the request has not run
    And a refusal takes at most 0.3 s

    Examples:
      | event                                   |
      | all instances are killed                |
      | all instances are killed while v1 leaves |

  Scenario Outline: no stream goes on by a guess when its caller names <request>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, and name <request>
    Then no stream holds events of two software versions
    And no stream goes on
    And each refusal says that the request has not run

    Examples:
      | request                         |
      | no request                      |
      | a request that nobody knows     |
      | the first try that took them up |

  Scenario: streams that begin after all instances were killed go on
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    When all instances are killed and start again
    And 24 streams of 60 events begin at a, and are cut after 10 events
    And they are taken up at b and at c in turn, after a is killed
    Then no stream holds events of two software versions
    And all of the 24 streams were whole at the end

  Scenario: a stream that begins at an instance that is cut off is not taken up by a guess
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And a can't reach the other instances
    And 12 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after nothing else
    Then no stream holds events of two software versions
    And each refusal says that the request has not run

  Scenario Outline: an answer goes on at the version that began it, <case>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And engines break streams off after <break_at> events
    When 16 streams of <events> events are read at a to their end
    Then no stream holds events of two software versions
    And <whole> of the 16 streams were whole at the end

    Examples:
      | case                       | break_at | events | whole |
      | once                       | 20       | 30     | all   |
      | until no engine is left    | 5        | 30     | none  |

  Scenario: a stream that has no event yet may begin at any version
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And engines of v1 break streams off before the first event
    When 8 streams of 20 events are read at a to their end
    Then no stream holds events of two software versions
    And all of the 8 streams were whole at the end

  Scenario: a stream whose version has no engine left is refused at once
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 8 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after v1 has no engine left
    Then a refusal takes at most 0.3 s

  Scenario: a resumed stream waits for a place at the version that began it
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 8 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after all engines refuse for 0.5 s
    Then no stream holds events of two software versions
    And all of the 8 streams were whole at the end

  Scenario Outline: the text of a sample is written by one software version while <event>
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And samples that are saved at once
    When a accepts a job of 4 groups of 8 samples with 60 events
    And meanwhile <event>
    Then within 10 s each text is whole and of one software version

    Examples:
      | event                                              |
      | engines break streams off after 25 events          |
      | t0 and t2 are cleared for a load of weights        |
      | a is lost with engine t0, and b takes the job over |
      | a stops and hands the job over                     |
      | v1 has no engine left                              |
      | t0 and t2 start again as v2, and lists show it 1 s later |
      | all instances are killed, and b takes the job over |
      | all instances are killed while v1 leaves, and b takes the job over |

  # Guards against streams that are joined from two versions, since a list that
  # lags names the old version for an engine that has started again.
  Scenario: streams don't go on at engines that have started again as another version
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after the engines of v1 start again as v2, unseen
    Then no stream holds events of two software versions
    And all streams of v2 were whole at the end

  # Guards against the same where the instance that began them had the old list.
  Scenario: streams that begin at an engine that has started again don't go on at its old version
    Given instances a, b and c before 4 engines of 12 places
    And two of the engines have software version v1, and two v2
    And engine t0 has started again as v2, and no list shows it
    And 24 streams of 60 events begin at a, and are cut after 10 events
    When they are taken up at b and at c in turn, after all lists show it
    Then no stream holds events of two software versions
    And each refusal says that the request has not run
