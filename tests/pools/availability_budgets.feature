Feature: Long-running tasks stay at work
  Tasks of a step that may be unavailable one at a time are stopped one at a
  time, whoever stops them, and a job is not given up for its workers.

  Scenario Outline: The owner changes while a task is being stopped
    # Guards against a new owner that takes a task for available which its
    # predecessor has just stopped, and stops another one of the step.
    Given a platform fleet of 3 hosts and 5 workers
    And tasks run for 0.4 s
    When stops take 0.9 s
    And a job of 3 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And a job of 2 short tasks is submitted each 0.15 s
    And all partitions are rebalanced <delay> s after each of the next 12 stops
    And operators publish a wave over all hosts with a cap of 5
    And 40 s pass
    Then every host was maintained once, at most 5 at a time
    And at most 1 task of the job was unavailable at a time

    Examples:
      | delay |
      | 0.02  |
      | 0.2   |
      | 0.5   |

  Scenario Outline: Workers crash again and again under a long-running task
    # Guards against a job that is given up, and its sound tasks stopped, because
    # chance let many workers crash under one of them.
    Given a platform fleet of 3 hosts and 5 workers
    When a job of 3 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And the worker of the first task crashes 6 times, <ran> s after each start
    And 20 s pass
    Then every host reports the job as running
    And 3 tasks of the job are running
    And no task of the job was stopped

    Examples:
      | ran |
      | 0.1 |
      | 2   |
      | 5   |

  Scenario: Owners are killed while workers crash under a long-running task
    # Guards against a new owner that gives a job up for the crashes that earlier
    # owners have stored.
    Given a platform fleet of 3 hosts and 5 workers
    When a job of 3 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And the owner is killed 0.1 s after each crash and restarted
    And the worker of the first task crashes 6 times, 1 s after each start
    And 30 s pass
    Then every host reports the job as running
    And 3 tasks of the job are running
    And no task of the job was stopped

  Scenario: A host is due for maintenance whose worker a new owner doesn't know
    # Guards against a new owner that takes a worker without known runs for idle,
    # and takes its host down under the tasks of its predecessor.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 2 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And a worker with tasks is missing from the list of workers
    And the store drops its history
    And operators publish an urgent wave over all hosts with a cap of 4
    And all hosts are killed and restarted
    And 30 s pass
    Then no host went down under a task of the job

  Scenario: A new owner can't reach a worker whose host is due for maintenance
    # Guards against taking a host down because its worker hasn't answered within
    # the time that batch tasks are given to end.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 2 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And the owner is replaced by hosts that can't reach a worker with tasks for 6 s
    And operators publish an urgent wave over all hosts with a cap of 4
    And 30 s pass
    Then no host went down under a task of the job

  Scenario: A worker restarts while its host waits for maintenance
    # Guards against a command for a host that was meant for the worker which had
    # been drained there: another one has replaced it and runs tasks.
    Given a platform fleet of 3 hosts and 3 workers
    When a job of 3 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And a worker with tasks crashes for 9 s
    And 2 s pass
    And operators publish a wave over all hosts with a cap of 3
    And 1 s pass
    And commands for hosts are lost
    And a cordoned worker crashes for 2 s
    And 10 s pass
    And commands for hosts are carried out again
    And 20 s pass
    Then no host went down under a task of the job
    And at most 1 task of the job was unavailable at a time

  Scenario: Stops are lost for seconds and another worker crashes meanwhile
    # Guards against a stop that is sent by what was known when it was decided.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 3 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And all stops are lost
    And operators publish a wave over all hosts with a cap of 1
    And 3 s pass
    And a worker with tasks that aren't being stopped crashes for 20 s
    And 5 s pass
    And stops are carried out again
    And 8 s pass
    Then at most 1 task of the job was unavailable at a time

  Scenario: A start whose reply was lost is carried out late
    # Guards against stopping a task at work because its start was in doubt before.
    Given a platform fleet of 3 hosts and 3 workers
    When all stops are lost
    And the next 1 starts on each worker get no reply and take effect 1 s late
    And a job of 2 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And stops are carried out again
    And 8 s pass
    Then no task of the job was stopped
    And 2 tasks of the job are running

  Scenario: A new owner can't read the record of a job
    # Guards against stopping the tasks of an accepted job because the build of
    # the new owner can't decode what is stored of it.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 2 long-running tasks, at most 1 on a worker, of which 1 may be unavailable is submitted
    And 4 s pass
    And the stored spec of the job becomes unreadable
    And the owner is killed
    And 10 s pass
    Then no task of the job was stopped
    And 2 tasks of the job are running
