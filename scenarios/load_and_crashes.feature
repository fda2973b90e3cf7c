Feature: Bursts and content that crashes engines stay contained

  Demand for one model grows tenfold within seconds; deferrable work meets
  urgent load; and a caller sends content that crashes each engine that runs
  it, again and again, with new identifiers and through other entries.

  Background: three engines
    Given the fleet of tenant "tampere"
      | vm      | availability zone | runs   | memory |
      | draft-1 | pirkanmaa-a       | engine | 24 GiB |
      | draft-2 | pirkanmaa-b       | engine | 24 GiB |
      | draft-3 | pirkanmaa-c       | engine | 24 GiB |
    And the entries
      | entry   | availability zone |
      | entry-1 | pirkanmaa-a       |
      | entry-2 | pirkanmaa-b       |
    And the models
      | model   | version | weights |
      | quote-1 | 1       | 7 GiB   |
      | quote-2 | 1       | 7 GiB   |
      | quote-3 | 1       | 7 GiB   |
    And the workspaces
      | workspace | models  | adapters | services | class  |
      | venues    | quote-* | -        | -        | urgent |
      | night     | quote-* | -        | -        | urgent |
    And everything is resident

  Scenario: Demand for one model grows tenfold
    Given the demand
      | workspace | target  | every  | from | until | tokens | details |
      | venues    | quote-1 | 300 ms | 0 s  | 5 s   | 6      | whole   |
      | venues    | quote-1 | 30 ms  | 5 s  | 20 s  | 6      | whole   |
      | venues    | quote-2 | 500 ms | 0 s  | 20 s  | 6      | whole   |
    When 30 s pass
    Then at least 95% of the model requests are answered

  Scenario Outline: A tenfold burst and <event> <on>
    Given the demand
      | workspace | target  | every  | from | until | tokens | details |
      | venues    | quote-1 | 300 ms | 0 s  | 5 s   | 6      | whole   |
      | venues    | quote-1 | 30 ms  | 5 s  | 15 s  | 6      | whole   |
    When "<event>" happens on "<on>" at 8 s for <length>
    And 40 s pass
    Then at least 90% of the model requests are answered
    And everything is resident again

    Examples:
      | event           | on      | length |
      | kill            | draft-1 | 3 s    |
      | kill            | entry-1 | 3 s    |
      | drain by signal | draft-1 | ever   |

  Scenario: Deferrable work waits for urgent work and is not forgotten
    Given the demand
      | workspace | target  | every  | from | until | tokens | details | class      |
      | night     | quote-1 | 50 ms  | 0 s  | 15 s  | 40     | whole   | deferrable |
      | venues    | quote-1 | 200 ms | 0 s  | 15 s  | 6      | whole   | urgent     |
    When 60 s pass
    Then at least 95% of the urgent requests are answered
    And at least 95% of the deferrable requests are answered

  Scenario: Content that crashes engines is sent again and again
    Given the demand
      | workspace | target  | every  | from | until | tokens | details                 |
      | venues    | quote-1 | 2 s    | 1 s  | 40 s  | 6      | crashes engines, whole  |
      | venues    | quote-2 | 500 ms | 0 s  | 40 s  | 6      | whole                   |
    When 60 s pass
    Then the content that crashes engines stops no more than 3 of them
    And everything is resident again

  Scenario: Content that crashes engines arrives through both entries at once
    Given the demand
      | workspace | target  | every  | from | until | tokens | details                | through |
      | venues    | quote-1 | 700 ms | 1 s  | 20 s  | 6      | crashes engines, whole | entry-1 |
      | venues    | quote-1 | 700 ms | 1 s  | 20 s  | 6      | crashes engines, whole | entry-2 |
      | venues    | quote-2 | 500 ms | 0 s  | 30 s  | 6      | whole                  | entry-1 |
    When 60 s pass
    Then the content that crashes engines stops no more than 4 of them
    And everything is resident again

  Scenario: Crashing content that is not repeatable never runs again
    Given the demand
      | workspace | target  | every  | from | until | tokens | details                                |
      | venues    | quote-1 | 3 s    | 1 s  | 30 s  | 6      | crashes engines, whole, not repeatable |
      | venues    | quote-3 | 500 ms | 0 s  | 30 s  | 6      | whole                                  |
    When 60 s pass
    Then the content that crashes engines stops no more than 3 of them
    And everything is resident again
