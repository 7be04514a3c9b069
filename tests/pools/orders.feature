Feature: Commands to workers
  A command without a reply may have been executed, or may still be.

  Scenario: A start without a reply takes effect late
    # Guards against a second run of a task whose first run starts seconds later.
    Given a platform fleet of 2 hosts and 2 workers
    When the next 2 starts on each worker get no reply and take effect 1 s late
    And a job of 6 tasks is submitted
    And 10 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A start without a reply is lost
    # Guards against a task that waits forever for a start that never arrived.
    Given a platform fleet of 2 hosts and 2 workers
    When the next 2 starts on each worker get no reply and are lost
    And a job of 6 tasks is submitted
    And 10 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A worker restarts under the same id
    # Guards against acknowledging run ends of the new process by the numbers of
    # the old one.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 1 s
    When a job of 40 tasks is submitted
    And 1 s pass
    And every worker restarts
    And 10 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: Failing tasks use up the attempts of their job
    # Guards against a job that fails too early or never.
    Given a platform fleet of 2 hosts and 2 workers
    When a job of 2 tasks that always fail is submitted
    And 12 s pass
    Then every host reports the job as failed
    And no task of the job ran more than 3 times

  Scenario: Starts wait behind others for longer than a run may stall
    # Guards against runs that are stopped as stalled as soon as they start, and
    # workers that are held to be faulty, since the time before the start counts.
    Given a platform fleet of 2 hosts and 1 worker
    When workers take 300 ms for a start
    And a job of 30 small tasks is submitted
    And 12 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: A suspect worker gets tasks again
    # Guards against starts on a suspect worker that are dropped again and again,
    # because the run to be started counts as making the worker busy.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 2 tasks that fail at first is submitted
    And 9 s pass
    Then every host reports the job as completed
    And no task of the job ran more than 3 times

  Scenario: A suspect worker with a long-running task gets tasks again
    # Guards against a suspect worker that never gets a probe task, because its
    # long-running tasks, which do not end, count as making it busy.
    Given a platform fleet of 2 hosts and 1 worker
    And a long-running task of another job is running
    When a job of 2 tasks that fail at first is submitted
    And 9 s pass
    Then every host reports the job as completed
    And no task of the job ran more than 3 times

  Scenario: A task failed on the only worker with its label
    # Guards against a task that stays pending because it avoids the worker on
    # which it failed, although no other worker can take it.
    Given a platform fleet of 2 hosts and 3 workers
    When a job of 1 task that requires label r1-1 and fails at first is submitted
    And 9 s pass
    Then every host reports the job as completed
    And no task of the job ran more than 3 times

  Scenario: A cancelled job stops
    # Guards against runs that continue or start after a confirmed cancellation.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 5 s
    When a job of 6 tasks is submitted
    And the job is cancelled
    And 2 s pass
    Then every host reports the job as cancelled
    And no task of the job is running

  Scenario: A long-running task restarts however it ends
    # Guards against long-running tasks that are not restarted after a crash.
    Given a platform fleet of 2 hosts and 3 workers
    When a job of 2 long-running tasks is submitted
    And every worker restarts
    And 10 s pass
    Then 2 tasks of the job are running
    And no invariant was violated on the workers

  Scenario: Anti-affinity spreads a step over workers
    # Guards against more tasks on a worker than the limit of the step.
    Given a platform fleet of 2 hosts and 3 workers
    And tasks run for 1 s
    When a job of 3 tasks with at most 1 per worker is submitted
    And 4 s pass
    Then no worker ran 2 tasks of the job at once

  Scenario: Starts stay within the capacity of the workers
    # Guards against starts beyond the free capacity of a worker.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 1 s
    When a job of 40 tasks is submitted
    And 8 s pass
    Then every host reports the job as completed
    And no worker ever ran more than 8 tasks at once

  Scenario: The capacity of a worker shrinks and grows again while it runs
    # Guards against starts that exceed what a worker says of itself now, on a
    # worker that doesn't refuse them.
    Given a platform fleet of 2 hosts and 1 worker
    And tasks run for 1 s
    When the workers report a capacity of 3000 millicores
    And 1 s pass
    And a job of 6 tasks is submitted
    And 4 s pass
    Then every host reports the job as completed
    And no worker ever ran more than 3 tasks at once

  Scenario: The capacity of a worker has grown again
    # Guards against workers that stay small for good.
    Given a platform fleet of 2 hosts and 1 worker
    And tasks run for 1 s
    When the workers report a capacity of 3000 millicores
    And 1 s pass
    And the workers report a capacity of 8000 millicores
    And 1 s pass
    And a job of 6 tasks is submitted
    And 2 s pass
    Then every host reports the job as completed
