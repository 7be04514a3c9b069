Feature: Workers that are kept for tasks that may crash them
  Few workers of a pool are kept for suspected tasks at once. The other suspects
  run apart from each other, and the pool's other work goes on.

  Scenario Outline: <count> workers crash under tasks that go on for long
    # Guards against a pool that starts nothing else, as each of its workers is
    # kept for one of the tasks that were on a crashed worker.
    Given a platform fleet of 3 hosts and <workers> workers
    And a job of <tasks> tasks that run for 40 s
    When the workers with most tasks crash <times> times, <count> at once and <age> s after all tasks began
    And 4 other jobs are submitted while all tasks of the first one wait or run
    And 60 s pass
    Then each of the other jobs began within 3 s
    And at least <least> tasks of the first job ran within 5 s of the last crash
    And every host reports the job as completed
    And no invariant was violated on the workers

    Examples:
      | workers | tasks | times | count | age | least |
      | 8       | 8     | 2     | 1     | 2.5 | 8     |
      | 8       | 16    | 2     | 2     | 2.5 | 16    |
      | 8       | 8     | 1     | 1     | 0.8 | 8     |
      | 8       | 16    | 2     | 2     | 0.8 | 16    |
      | 2       | 6     | 2     | 1     | 2.5 | 6     |
      | 1       | 4     | 2     | 1     | 2.5 | 4     |
      | 1       | 4     | 1     | 1     | 0.8 | 4     |

  Scenario: Several jobs are suspected and the owner is killed
    # Guards against a new owner that keeps a worker for each task whose crashes
    # were stored.
    Given a platform fleet of 3 hosts and 8 workers
    And a job of 8 tasks that run for 40 s
    And 8 more jobs of 1 task like it
    When the workers with most tasks crash 2 times, 2 at once and 2.5 s after all tasks began
    And the owner is killed
    And 4 other jobs are submitted while all tasks of the first one wait or run
    And 80 s pass
    Then each of the other jobs began within 5 s
    And every host reports the job as completed
    And no invariant was violated on the workers

  Scenario Outline: One of many suspected tasks crashes its workers after <delay> s
    # Guards against a task that goes on crashing workers because it is no longer
    # started by itself, and against sound jobs that are given up with it.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 6 s
    When 7 other jobs of 1 tasks are submitted
    And a job of 1 tasks is submitted whose first task crashes workers after <delay> s
    And 90 s pass
    Then at most 4 workers crashed
    And every host reports the job as failed
    And the other jobs are completed

    Examples:
      | delay |
      | 0.01  |
      | 0.5   |
      | 2.5   |

  Scenario: A task is suspected alone
    # Guards against a worker that is shared by a task whose crashes could be told
    # at once from those of others.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 6 s
    When a job of 1 tasks is submitted whose first task crashes workers after 2.5 s
    And 20 s pass
    And 4 other jobs of 2 tasks are submitted
    And 30 s pass
    Then at most 4 workers crashed
    And every host reports the job as failed
    And the other jobs are completed
    And the log tells how many workers were kept
