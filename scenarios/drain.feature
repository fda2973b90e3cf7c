Feature: A VM leaves without a trace

  An operator, a signal or the VM list marks a VM as leaving. It gets no new
  work after a few seconds (R6), finishes what runs (R7), hands its last
  copies over (R2) and exits, also while other parts fail.

  Background: three engines with room for the models of one of them
    Given the fleet of tenant "kovacevic"
      | vm      | availability zone | runs   | memory |
      | model-1 | zagreb-a          | engine | 24 GiB |
      | model-2 | zagreb-b          | engine | 24 GiB |
      | model-3 | zagreb-c          | engine | 24 GiB |
    And the entries
      | entry   | availability zone |
      | entry-1 | zagreb-a          |
      | entry-2 | zagreb-b          |
    And the models
      | model    | version | weights |
      | clause-1 | 1       | 6 GiB   |
      | clause-2 | 1       | 6 GiB   |
      | clause-3 | 1       | 6 GiB   |
    And the adapters
      | adapter | base     | version |
      | deal-1  | clause-1 | 1       |
      | deal-2  | clause-2 | 1       |
    And the workspaces
      | workspace | models   | adapters | services | class  |
      | traders   | clause-* | deal-*   | -        | urgent |
    And everything is resident
    And the demand
      | workspace | target   | every  | from | until | tokens | details               |
      | traders   | clause-1 | 700 ms | 0 s  | 20 s  | 80     |                       |
      | traders   | deal-2   | 500 ms | 0 s  | 20 s  | 6      | whole                 |
      | traders   | clause-3 | 900 ms | 0 s  | 20 s  | 60     | not repeatable, whole |

  Scenario Outline: <event> <on>
    When "<event>" happens on "<on>" at 5 s for ever
    And 40 s pass
    Then "<on>" has drained within 30 s of the mark
    And at least 100% of the model requests are answered
    And everything is resident again

    Examples:
      | event             | on      |
      | drain by signal   | model-1 |
      | drain by signal   | model-2 |
      | drain by operator | model-1 |
      | drain by VM list  | model-1 |
      | drain by signal   | entry-1 |

  Scenario Outline: Drain of model-1 during <event> <on>
    When these events happen
      | at  | event           | on      | for      |
      | 4 s | <event>         | <on>    | <length> |
      | 5 s | drain by signal | model-1 | ever     |
    And 60 s pass
    Then "model-1" has drained within <limit> of the mark
    And at least 90% of the model requests are answered
    And everything is resident again

    Examples:
      | event                       | on      | length | limit |
      | key-value outage            | -       | 15 s   | 30 s  |
      | weight store outage         | -       | 10 s   | 50 s  |
      | kill                        | entry-1 | 4 s    | 30 s  |
      | kill                        | model-2 | 4 s    | 40 s  |
      | pause                       | model-2 | 6 s    | 40 s  |
      | pause                       | entry-2 | 6 s    | 30 s  |
      | lose the VM                 | model-3 | ever   | 50 s  |
      | silence the streams of      | model-1 | ever   | 40 s  |
      | crash the backend server of | model-2 | ever   | 40 s  |
      | lose half of the orders to  | model-2 | 20 s   | 55 s  |

  Scenario: All three sources mark the same VM
    When these events happen
      | at    | event             | on      | for  |
      | 5 s   | drain by operator | model-1 | ever |
      | 5.1 s | drain by VM list  | model-1 | ever |
      | 5.5 s | drain by signal   | model-1 | ever |
    And 40 s pass
    Then "model-1" has drained within 30 s of the mark
    And at least 100% of the model requests are answered

  Scenario: Two VMs leave one after the other
    When these events happen
      | at   | event           | on      | for  |
      | 3 s  | drain by signal | model-1 | ever |
      | 12 s | drain by signal | entry-2 | ever |
    And 50 s pass
    Then "model-1" has drained within 30 s of the mark
    And "entry-2" has drained within 30 s of the mark
    And at least 100% of the model requests are answered

  Scenario: The agent is killed while it drains
    When these events happen
      | at  | event           | on      | for |
      | 5 s | drain by signal | model-1 | -   |
      | 6 s | kill            | model-1 | 4 s |
    And 50 s pass
    Then at least 90% of the model requests are answered
    And everything is resident again
