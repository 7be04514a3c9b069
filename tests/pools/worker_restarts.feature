Feature: Figures of a worker's process that has ended
  A worker may restart under its id. Its clock and the numbers of its ends begin
  anew, and nothing reckoned by those of the process before holds for it.

  Scenario Outline: A worker restarts while idle and is cut off with a task
    # Guards against a lease reckoned by the clock of an ended process: the next
    # one takes such a deadline for its longest lease, which outlasts the time
    # after which the task is started elsewhere.
    Given a platform fleet of 2 hosts and 2 workers
    And workers accept leases of 10 s
    When 10 s pass
    And every worker restarts
    And <time> s pass
    And a long-running job of 1 task is submitted
    And a worker with tasks is cut off and removed from the list
    And 25 s pass
    Then no invariant was violated on the workers
    And 1 task of the job is running on another worker

    Examples:
      | time |
      | 0    |
      | 2    |

  Scenario: A worker with its longest lease is cut off as its pool changes owners
    # Guards against a new owner that counts on the lease which it would have
    # given itself.
    Given a platform fleet of 2 hosts and 2 workers
    And workers accept leases of 10 s
    When a long-running job of 1 task is submitted
    And the worker is given its longest lease as owners change
    And the worker is cut off
    And 25 s pass
    Then no invariant was violated on the workers
    And 1 task of the job is running on another worker

  Scenario: A worker that was given its longest lease answers a new owner once
    # Guards against a new owner that shortens, by its first poll, a lease that
    # the previous one has given.
    Given a platform fleet of 2 hosts and 2 workers
    And workers accept leases of 10 s
    When a long-running job of 1 task is submitted
    And the worker is given its longest lease as owners change
    And the worker is cut off once the new owner has polled it
    And 25 s pass
    Then no invariant was violated on the workers
    And 1 task of the job is running on another worker

  Scenario: A worker restarts just after a start and isn't heard for a while
    # Guards against a run of an ended process that is kept as one of the next,
    # whose clock has yet to reach the time of its start.
    Given a platform fleet of 2 hosts and 1 worker
    When 20 s pass
    And a job of 1 task is submitted
    And the worker restarts 0.05 s after the start and is heard again 5 s later
    And 3 s pass
    Then every host reports the job as completed

  Scenario: An idle worker restarts and runs a task while polls get no reply
    # Guards against ends of a new process that are acknowledged unread, by the
    # number of the last end of the process before: the task would run again.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 6 tasks is submitted
    And 5 s pass
    And every worker restarts
    And a second job is submitted while the next 2 polls get no reply
    And 5 s pass
    Then no invariant was violated on the workers
    And each task of the second job ran once

  Scenario: An idle worker has gone when a task is placed on it
    # Guards against a start that is sent to a worker of which nothing is known
    # now, and whose task has to wait until its deadline has passed.
    Given a platform fleet of 2 hosts and 2 workers
    When 5 s pass
    And one worker falls silent
    And a job of 2 tasks with at most 1 per worker is submitted
    And 3 s pass
    Then no start was left without a reply
    And every host reports the job as completed

  Scenario: An idle worker that didn't answer a start gets tasks again
    # Guards against a worker that stays out of use since nothing polls it.
    Given a platform fleet of 2 hosts and 1 worker
    When 5 s pass
    And one worker falls silent
    And a job of 2 tasks is submitted
    And 1 s pass
    And the silent worker answers again
    And 3 s pass
    Then every host reports the job as completed
