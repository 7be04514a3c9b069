Feature: Run times that the owner of a pool learns
  Runs that are typical of their queue are learned from, and a later owner begins
  with what is known.

  Scenario Outline: A run of 8 s of a task estimated at 1 s
    # Guards against run times that tell about the worker, the pace or the previous
    # owner, and not about the task.
    Given the owner of a queue <with> a target and 2 workers
    When a task estimated at 1 s is started, <kind>
    And its run completes after 8 s
    Then the owner expects the next task to take <expected>

    Examples:
      | with    | kind                                | expected     |
      | with    | as usual                            | more than 1 s |
      | without | as usual                            | 1 s          |
      | with    | on a slow worker                    | 1 s          |
      | with    | as a copy of another run            | 1 s          |
      | with    | from a checkpoint                   | 1 s          |
      | with    | and is paced for a while            | 1 s          |
      | with    | by a previous owner                 | 1 s          |

  Scenario: The owner is killed
    # Guards against a new owner that begins with the estimates, in the middle of
    # a burst.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 2 s
    When 6 jobs of tasks estimated at 0.5 s have completed, 1 s apart
    And the owner is killed
    And 5 s pass
    Then the new owner expects tasks to take 1.2 to 2.2 s

  Scenario: Stored run times can't be read
    # Guards against an owner that fails to load its partition, or expects a time
    # that isn't a number.
    Given a platform fleet of 3 hosts and 3 workers
    When unreadable and impossible run times are stored
    And the owner is killed
    And 5 s pass
    And a job of 4 tasks is submitted
    And 3 s pass
    Then every host reports the job as completed
    And both run times were logged as unreadable and skipped

  Scenario: The store is down while run times change
    # Guards against samples that are lost with the store, and against records
    # that pile up until it is back.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 1 s
    When 4 jobs of tasks estimated at 0.5 s are submitted and the store is down when they end
    Then no run time is stored, and the owner expects tasks to take 0.6 to 1.2 s
