Feature: Several trainers share engines

  Scenario Outline: models share the engines out
    Given <engines> engines that serve <models> models at version 1
    When engines are assigned for version 2 of all
    Then each model has <own> engines and none has more than <most> models

    Examples:
      | engines | models | own | most |
      | 6       | 1      | 6     | 1    |
      | 23      | 4      | 9     | 2    |
      | 22      | 3      | 11    | 2    |
      | 2       | 4      | 1     | 2    |

  Scenario: models of other engines take none away
    Given 4 engines that serve 1 models at version 1
    And 5 more engines that serve only model "other" at version 1
    When engines are assigned for version 2 of all
    Then model "m0" has 4 engines and model "other" has 5

  Scenario: engines stay assigned while versions go on
    Given 23 engines that serve 4 models at version 1
    When engines are assigned for version 2 of all
    And they load, and engines are assigned for version 3 of all
    Then all models have the same engines as before

  Scenario: an engine that is lost is replaced, and no other one
    Given 23 engines that serve 4 models at version 1
    When engines are assigned for version 2 of all
    And they load, and engines are assigned for version 3 of all
    And one engine is lost, and engines are assigned for version 3 of all
    Then each model has 9 engines, of which 1 is new at most

  Scenario: a model that has not moved at all loads before one that has
    Given assigned engines "a:2,0 b:2,0 c:1,0" of model "m0"
    And assigned engines "d:1,0 e:1,0" of model "m1"
    Then the models load in the order "m1 m0"

  Scenario: an engine that loads one model is not asked to load another
    Given assigned engines "a:1,0 b:1,0 c:1,0" of model "m0"
    When "a" loads "m1" and version 2 of "m0" is wanted with room for 4
    Then the engines "b c" load next

  Scenario: no step of four trainers is without engines while others load
    Given 23 engines that serve 4 models at version 1
    When a version of each is named each 4 s for 60 s and loads take 0.9 s
    Then each newest step always has 5 engines at least, and more than if each had all
    And fewer loads are made than if each had all, 10 a version at most
    And at most 9 engines load at once
