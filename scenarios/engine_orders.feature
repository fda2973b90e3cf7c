Feature: Memory and reachability survive lost and late orders

  Loads and unloads are orders to engines; orders and their answers are lost
  or late, agents restart in between, and holders of a lease are paused. R1
  is read from the engine's own account.

  Background: engines that are nearly full
    Given the fleet of tenant "kovacevic"
      | vm      | availability zone | runs   | memory | fencing   |
      | model-1 | zagreb-a          | engine | 16 GiB | yes       |
      | model-2 | zagreb-b          | engine | 16 GiB | yes       |
      | model-3 | zagreb-c          | engine | 16 GiB | yes       |
    And the entries
      | entry   | availability zone |
      | entry-1 | zagreb-a          |
      | entry-2 | zagreb-b          |
    And the models
      | model    | version | weights |
      | clause-1 | 1       | 5 GiB   |
      | clause-2 | 1       | 5 GiB   |
      | clause-3 | 1       | 5 GiB   |
      | clause-4 | 1       | 5 GiB   |
    And the workspaces
      | workspace | models   | adapters | services | class  |
      | traders   | clause-* | -        | -        | urgent |

  Scenario Outline: <event> model-2 while model-1 restarts, fencing <fencing>
    Given engines with fencing numbers checked: <fencing>
    And everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens |
      | traders   | clause-1 | 500 ms | 0 s  | 25 s  | 6      |
      | traders   | clause-2 | 500 ms | 0 s  | 25 s  | 6      |
      | traders   | clause-4 | 500 ms | 0 s  | 25 s  | 6      |
    When these events happen
      | at   | event   | on      | for  |
      | 2 s  | <event> | model-2 | 20 s |
      | 2 s  | <event> | model-3 | 20 s |
      | 3 s  | kill    | model-1 | 6 s  |
      | 6 s  | kill    | model-2 | 1 s  |
      | 11 s | kill    | model-3 | 1 s  |
    And 70 s pass
    Then everything is resident again
    And at least 60% of the model requests are answered

    Examples:
      | event                      | fencing |
      | lose half of the orders to | yes     |
      | lose half of the orders to | no      |
      | lose answers to orders of  | yes     |
      | lose answers to orders of  | no      |
      | delay orders to            | yes     |
      | delay orders to            | no      |

  Scenario Outline: An engine crashes during a version roll, fencing <fencing>
    Given engines with fencing numbers checked: <fencing>
    And everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens |
      | traders   | clause-1 | 500 ms | 0 s  | 25 s  | 6      |
    When these events happen
      | at    | event                       | on                                     | for  |
      | 2 s   | delay orders to             | model-1                                | 15 s |
      | 3 s   | operator changes            | clause-1 version 2; clause-2 version 2 | ever |
      | 5 s   | crash the backend server of | model-1                                | ever |
      | 6 s   | kill                        | model-2                                | 2 s  |
      | 9 s   | crash the backend server of | model-2                                | ever |
    And 120 s pass
    Then everything is resident again
    And the version of "clause-1" is 2 wherever it is resident
    And at least 80% of the model requests are answered

    Examples:
      | fencing |
      | yes     |
      | no      |

  Scenario Outline: The lease of a paused holder lapses: <holder>
    Given everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens | through |
      | traders   | clause-1 | 500 ms | 0 s  | 30 s  | 6      | <other> |
      | traders   | clause-3 | 500 ms | 0 s  | 30 s  | 6      | <other> |
    When these events happen
      | at   | event                       | on       | for  |
      | 2 s  | pause                       | <holder> | 15 s |
      | 4 s  | crash the backend server of | model-1  | ever |
      | 16 s | crash the backend server of | model-2  | ever |
    And 60 s pass
    Then everything is resident again
    And at least 60% of the model requests are answered

    Examples:
      | holder  | other   |
      | entry-1 | entry-2 |
      | entry-2 | entry-1 |

  Scenario: The weight store is down while engines crash
    Given everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens |
      | traders   | clause-1 | 500 ms | 0 s  | 25 s  | 6      |
    When these events happen
      | at   | event                       | on      | for  |
      | 3 s  | weight store outage         | -       | 15 s |
      | 4 s  | crash the backend server of | model-1 | ever |
      | 6 s  | crash the backend server of | model-2 | ever |
    And 90 s pass
    Then everything is resident again
