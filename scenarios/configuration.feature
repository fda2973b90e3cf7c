Feature: An accepted configuration is in force everywhere within 12 s

  Operators change the configuration while processes and the key-value
  service fail. Nobody stays to watch. R8 is checked at every process 12 s
  after each acceptance, and no process ever goes back.

  Background: two availability zones
    Given the fleet of tenant "kovacevic"
      | vm      | availability zone | runs   | memory |
      | model-1 | zagreb-a          | engine | 24 GiB |
      | model-2 | zagreb-b          | engine | 24 GiB |
      | model-3 | zagreb-b          | engine | 24 GiB |
    And the entries
      | entry   | availability zone |
      | entry-1 | zagreb-a          |
      | entry-2 | zagreb-b          |
    And the models
      | model    | version | weights |
      | clause-1 | 1       | 5 GiB   |
      | clause-2 | 1       | 5 GiB   |
    And the adapters
      | adapter | base     | version |
      | deal-1  | clause-1 | 1       |
    And the workspaces
      | workspace | models   | adapters | services | class  |
      | traders   | clause-* | deal-*   | -        | urgent |
    And everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens |
      | traders   | clause-1 | 500 ms | 0 s  | 20 s  | 20     |
      | traders   | deal-1   | 500 ms | 0 s  | 20 s  | 6      |

  Scenario Outline: A change during <event> <on>
    When these events happen
      | at  | event            | on                    | for      |
      | 3 s | <event>          | <on>                  | <length> |
      | 5 s | operator changes | traders class urgent  | ever     |
    And 60 s pass
    Then revision 2 is in force everywhere
    And 1 of the changes are accepted and 0 get a conflict
    And at least 95% of the model requests are answered

    Examples:
      | event                            | on       | length |
      | slow key-value service           | -        | 20 s   |
      | lose answers of key-value writes | 1        | ever   |
      | lose answers of key-value writes | 2        | ever   |
      | key-value outage                 | -        | 6 s    |
      | kill                             | model-1  | 10 s   |
      | kill                             | entry-2  | 10 s   |
      | pause                            | model-2  | 20 s   |
      | silence the streams of           | zagreb-b | ever   |
      | cut off                          | model-3  | 20 s   |

  Scenario: Two operators race
    When these events happen
      | at  | event               | on                                               | for  |
      | 5 s | two operators change | traders class urgent \| traders class deferrable | ever |
    And 30 s pass
    Then 1 of the changes are accepted and 1 get a conflict
    And revision 2 is in force everywhere

  Scenario: Two operators race while answers of writes are lost
    When these events happen
      | at  | event                            | on                                               | for  |
      | 4 s | lose answers of key-value writes | 2                                                | ever |
      | 5 s | two operators change             | traders class urgent \| traders class deferrable | ever |
    And 40 s pass
    Then 1 of the changes are accepted and 1 get a conflict
    And revision 2 is in force everywhere

  Scenario: An outage that outlasts the writer
    When these events happen
      | at  | event            | on                   | for  |
      | 3 s | key-value outage | -                    | 25 s |
      | 5 s | operator changes | traders class urgent | ever |
    And 60 s pass
    Then 0 of the changes are accepted and 0 get a conflict
    And revision 1 is in force everywhere
    And at least 100% of the model requests are answered

  Scenario: A process that starts in an outage learns the newest from its peers
    When these events happen
      | at   | event            | on                   | for  |
      | 2 s  | operator changes | traders class urgent | ever |
      | 6 s  | key-value outage | -                    | 30 s |
      | 8 s  | kill             | model-1              | 2 s  |
      | 9 s  | kill             | entry-1              | 2 s  |
    And 30 s pass
    Then revision 2 is in force everywhere

  Scenario: A new version rolls forward and back
    When these events happen
      | at   | event                        | on                 | for  |
      | 3 s  | operator changes             | clause-1 version 2 | ever |
      | 40 s | operator returns to revision | 1                  | ever |
    And 35 s pass
    Then the version of "clause-1" is 2 wherever it is resident
    When 70 s pass
    Then revision 3 is in force everywhere
    And the version of "clause-1" is 1 wherever it is resident
    And at least 100% of the model requests are answered

  Scenario Outline: A new version rolls out during <event> <on>
    When these events happen
      | at  | event            | on                                     | for      |
      | 3 s | operator changes | clause-1 version 2; deal-1 version 2   | ever     |
      | 5 s | <event>          | <on>                                   | <length> |
    And 90 s pass
    Then revision 2 is in force everywhere
    And the version of "clause-1" is 2 wherever it is resident
    And at least 95% of the model requests are answered

    Examples:
      | event                       | on      | length |
      | kill                        | model-1 | 3 s    |
      | kill                        | entry-1 | 3 s    |
      | weight store outage         | -       | 15 s   |
      | crash the backend server of | model-1 | ever   |
      | drain by signal             | model-1 | ever   |
      | key-value outage            | -       | 20 s   |
      | delay orders to             | model-1 | 20 s   |

  Scenario: Long answers of an adapter outlive the version of its base model
    Given the demand
      | workspace | target | every  | from | until | tokens |
      | traders   | deal-1 | 2 s    | 0 s  | 20 s  | 1000   |
    When these events happen
      | at  | event            | on                 | for  |
      | 3 s | operator changes | clause-1 version 2 | ever |
    And 60 s pass
    Then the version of "clause-1" is 2 wherever it is resident
    And at least 100% of the model requests are answered
