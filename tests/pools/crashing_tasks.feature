Feature: Tasks that crash the workers that start them
  A task may crash each worker that starts it, and with it all that runs there.
  The owner finds out which task does that with few crashes, gives it up, and
  restarts the others.

  Scenario Outline: A task crashes each worker that starts it
    # Guards against one task that takes worker after worker, and with them what
    # runs beside it.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    When 6 other jobs of 4 tasks are submitted
    And a job of 3 tasks is submitted whose first task crashes workers after <delay> s
    And 30 s pass
    Then at most <crashes> workers crashed
    And every host reports the job as failed
    And the other jobs are completed

    Examples:
      | delay | crashes |
      | 0.01  | 3       |
      | 0.5   | 3       |
      | 1.8   | 4       |

  Scenario: The owner is killed between two crashes
    # Guards against a new owner that starts counting anew.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    When a job of 3 tasks is submitted whose first task crashes workers after 0.01 s
    And 5 s pass
    And the owner is killed
    And 30 s pass
    Then at most 4 workers crashed
    And every host reports the job as failed

  Scenario: A long-running task crashes each worker that starts it
    # Guards against the loss of worker after worker, and of what runs there, to a
    # task that has to be restarted however it ends.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    When 2 other jobs of 4 tasks are submitted
    And a long-running job of 2 tasks is submitted whose first task crashes workers
    And 30 s pass
    Then at most 8 workers crashed
    And each worker but the first 2 that crashed ran no other task
    And every host reports the job as running
    And the second task of the job ran once and is running
    And the other jobs are completed

  Scenario: A task that may run twice at once crashes each worker that starts it
    # Guards against copies of a straggler whose worker has crashed, each of which
    # takes one more worker before any crash is counted.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 1 s
    And crashed workers return after 4 s
    When 6 other jobs of 4 tasks are submitted
    And a speculative job of 8 tasks is submitted whose first task crashes workers
    And 40 s pass
    Then at most 3 workers crashed
    And every host reports the job as failed
    And the other jobs are completed

  Scenario: Crashed workers stay away for longer than a lease
    # Guards against crashes that aren't counted because no other process has
    # answered at the worker's address when its lease ends.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    And crashed workers return after 12 s
    When 2 other jobs of 4 tasks are submitted
    And a job of 3 tasks is submitted whose first task crashes workers after 0.01 s
    And 60 s pass
    Then at most 3 workers crashed
    And every host reports the job as failed
    And the other jobs are completed

  Scenario: Workers crash under a task that is only unlucky
    # Guards against a job that is given up although none of its tasks is at
    # fault.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 3 s
    When a job of 2 tasks is submitted
    And 2 s pass
    And the workers with tasks crash
    And 6 s pass
    And the workers with tasks crash
    And 12 s pass
    Then every host reports the job as completed

  Scenario: A worker crashes for another reason under a task that was started by itself
    # Guards against a job that is given up for two crashes in a row that none of
    # its tasks has caused.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 3 s
    When a job of 1 task is submitted
    And 1 s pass
    And the workers with tasks crash
    And the task has been started again
    And the workers with tasks crash
    And 12 s pass
    Then every host reports the job as completed

  Scenario: Workers crash and return by turns
    # Guards against jobs that are given up because their suspected tasks are
    # started by themselves on workers that crash whatever runs there: these have
    # just returned, so they are the idle ones.
    Given a platform fleet of 2 hosts and 4 workers
    And tasks run for 1 s
    When a job of 120 tasks is submitted
    And the first 2 workers crash 5 times, 1.4 s after they returned
    And 20 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A long-running task outlives the crashes of its workers
    # Guards against long-running jobs that are given up, as workers crash under
    # them now and then.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 2 long-running tasks is submitted
    And 15 s pass
    And the workers with tasks crash
    And 15 s pass
    And the workers with tasks crash
    And 15 s pass
    And the workers with tasks crash
    And 15 s pass
    And the workers with tasks crash
    And 15 s pass
    Then 2 tasks of the job are running

  Scenario: Hosts are taken down for maintenance under the tasks of a job
    # Guards against tasks that are blamed for the end of workers that the owner
    # itself has ended.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 2 long-running tasks of which 1 may be unavailable is submitted
    And operators publish a wave over all hosts with a cap of 1
    And 40 s pass
    Then every host was maintained once, at most 1 at a time
    And no run is reported as ended by a crash
    And 2 tasks of the job are running

  Scenario Outline: Owners are killed after each crash, before it is counted
    # Guards against crashes that no owner counts, since each is replaced before
    # another process answers at the address of the worker.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    When 6 other jobs of 4 tasks are submitted
    And the owner is killed <delay> s after each crash and restarted
    And a job of 3 tasks is submitted whose first task crashes workers after 0.01 s
    And 60 s pass
    Then at most 5 workers crashed
    And every host reports the job as failed
    And the other jobs are completed

    Examples:
      | delay |
      | 0.1   |
      | 0.5   |
      | 2     |

  Scenario: Nothing listens at a worker for a moment and its owner is killed
    # Guards against a crash that is counted against tasks which run on.
    Given a platform fleet of 3 hosts and 2 workers
    And tasks run for 6 s
    When a job of 4 tasks is submitted
    And all workers refuse connections for 1.5 s
    And the owner is killed
    And 12 s pass
    Then every host reports the job as completed
    And each task ran once
    And no task is stored as having crashed workers

  Scenario: A suspected task runs on through a change of owner
    # Guards against a record of a start that is taken for one of a crash.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 6 s
    When a job of 1 task is submitted
    And 1 s pass
    And the workers with tasks crash
    And the task has been started again
    And the owner is killed
    And 12 s pass
    Then every host reports the job as completed
    And the task ran 2 times

  Scenario: Crashed workers are cordoned before their crash is counted
    # Guards against crashes that aren't counted, since the worker that stayed
    # away was chosen to leave its pool meanwhile.
    Given a platform fleet of 3 hosts and 8 workers
    And tasks run for 2 s
    When 6 other jobs of 4 tasks are submitted
    And crashed workers are cordoned 0.5 s after their crash
    And a job of 3 tasks is submitted whose first task crashes workers after 0.01 s
    And 30 s pass
    Then at most 3 workers crashed
    And every host reports the job as failed
    And the other jobs are completed

  Scenario: The only worker with room for a suspected task is the one that crashed
    # Guards against a task that isn't started again while its job's other tasks
    # keep it off all other workers.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 9 s
    When a job of 3 tasks with at most 1 per worker is submitted
    And 1 s pass
    And the worker of the first task crashes 1 times, 0 s after each start
    And 7 s pass
    Then the first task was started again within 5 s of its crash
