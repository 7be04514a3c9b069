Feature: Failover of the owner of a pool
  Jobs and ends of runs survive any change of owner, and no task runs twice.

  Scenario: A job of two steps runs to completion
    # Guards against a break anywhere on the path between caller and worker.
    Given a platform fleet of 3 hosts and 3 workers
    When a job of 4 tasks and then 2 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
    And no step started before the steps that it depends on were done
    And no invariant was violated on the workers

  Scenario: The owner is killed while tasks run
    # Guards against a new owner that restarts tasks which are still running: it
    # must count the lease of a found run from its own first poll.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 3 s
    When a job of 6 tasks is submitted
    And the owner is killed
    And 12 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The owner is killed while some tasks have ended and others run
    # Guards against a new owner that considers the lease of a found run as
    # expired because it has not renewed any lease yet: storing the ends of the
    # other tasks delays its next poll.
    Given a platform fleet of 3 hosts and 3 workers
    When the store takes 200 ms for an append
    And a job of 3 short tasks and 3 tasks of 6 s is submitted
    And the owner is killed
    And 16 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The store rejects the owner when tasks end
    # Guards against ends that are acknowledged before they are stored: the poll
    # after the one that reported them acknowledged them all.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 1 s
    When a job of 6 tasks is submitted
    And the store rejects the owner
    And 15 s pass
    And the store accepts every host again
    And 3 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A worker is cut off when the owner is killed
    # Guards against a new owner that does not know of workers that became
    # unreachable before the takeover: their tasks run until the lease expires.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and removed from the list
    And 1 s pass
    And the owner is killed
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: All hosts are killed and restarted while a worker is cut off
    # Guards against restarted hosts that know only the listed workers.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and removed from the list
    And all hosts are killed and restarted
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: All hosts restart after the list of workers was emptied
    # Guards against reading too little of the list's history: the amount must not
    # depend on how many workers are listed now, since there are few after an
    # outage of the store.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks run for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and removed from the list
    And 1 s pass
    And all hosts are killed and restarted with an empty list of workers
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A host that starts discovers the workers one by one
    # Guards against a new owner that starts tasks before it knows the workers
    # that expired from the list during an outage of the store.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks run for 5 s
    When a job of 6 tasks is submitted
    And all hosts are killed and restarted while workers return one by one
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A worker crashes and does not restart
    # Guards against unanswered polls that extend the lease of the worker in the
    # owner's state, so that its tasks never restart elsewhere.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And a worker with tasks crashes and does not restart
    And 14 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: All partitions are rebalanced at once
    # Guards against an owner that remains active after it was replaced.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And all partitions are rebalanced
    And 10 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The store is down while tasks run
    # Guards against leases that expire because the store is unavailable.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 4 s
    When a job of 6 tasks is submitted
    And the store is down for 5 s
    And 12 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The history of the list of workers is dropped
    # Guards against a follower that stops at an offset that has expired.
    Given a platform fleet of 3 hosts and 3 workers
    When the store drops its history
    And a job of 4 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A worker is heard again just after its lease
    # Guards against a second run of a task that is done: its end waits at a
    # worker whose last polls failed, and a poll after the lease shows it.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 2 s
    When a job of 2 tasks is submitted
    And a worker with tasks can't be heard until 0.15 s after its lease
    And 9 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A slow link carries a large partition to its new owner
    # Guards against accepted jobs that no host answers for: a page of records
    # that takes longer to arrive than the store takes to respond must not be
    # abandoned, since each retry would be abandoned at the same point.
    Given a platform fleet of 2 hosts and 3 workers
    And the links of all hosts carry 600 KB a second
    And tasks run for 2 s
    When the pool's partition holds 400 finished jobs of 4000 bytes
    And a job of 3 tasks is submitted
    And the owner is killed
    And 14 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A partition is reassigned and comes back within one membership
    # Guards against an owner that goes on with what it knew, as the store turned
    # it away for less than its membership lasts: it denies a job that another
    # host has accepted meanwhile, and nothing starts its tasks again.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 12 s
    When the store turns the owner away for 1.9 s while another host owns all partitions and accepts a job
    And 8 s pass
    Then every host reports the job as running
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A job is cancelled through another host while it is being stored
    # Guards against a job that starts seconds after its caller was told that it
    # doesn't exist, as the store was slow to accept it.
    Given a platform fleet of 3 hosts and 3 workers
    And a long-running task of another job is running
    When the store takes 240 ms for an append
    And a job of two steps is submitted and cancelled elsewhere 0.15 s later
    And the store takes 4 ms for an append
    And 8 s pass
    Then the call succeeds
    And every host reports the job as cancelled
    And no task of the job started 3 s or more after the cancelling was answered

  Scenario Outline: A submission comes late, after its cancelling was answered
    # Guards against a submission that was held up on its way and runs, although
    # its caller was told that there is none, also at a later owner or once its
    # queue has moved to another pool.
    Given a platform fleet of 3 hosts and 3 workers
    When the job is cancelled
    And <meanwhile>
    And 4 s pass
    And a job of 2 tasks is submitted
    And 2 s pass
    Then the call is refused with status 503 as not-run
    And no task of the job ever ran

    Examples:
      | meanwhile                                   |
      | 1 s pass                                    |
      | the owner is killed                         |
      | all hosts restart and their wall clocks jump |
      | operators assign the queue to the other pool |

  Scenario: An owner is replaced while it cancels a job that is being stored
    # Guards against a job that the next owner finds with the note of its
    # cancelling, and runs.
    Given a platform fleet of 2 hosts and 1 worker
    When all workers that are on crash and do not restart
    And a job of 2 tasks is submitted
    And the owner is killed just after it stored the job's cancelling
    And 4 s pass
    Then every host reports the job as cancelled

  Scenario Outline: A replaced owner that doesn't know it is asked for a job
    # Guards against an owner that calls a job unknown which the next one has
    # accepted: callers take that as final.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 12 s
    When another host owns all partitions and accepts a job while joins of the owner get no answer
    And <then>
    Then the caller is told <answer>

    Examples:
      | then                                    | answer                  |
      | the replaced owner is asked for the job | that the job is running |
      | the store turns it away and it is asked | to come back            |

  Scenario: A host owns a partition again that another one owned meanwhile
    # Guards against an owner that was cut off, returns, and goes on with what it
    # knew: it denies the jobs that the other owner has accepted.
    Given a platform fleet of 2 hosts and 3 workers
    When the store rejects the owner
    And 4 s pass
    And a job of 2 tasks is submitted
    And 1 s pass
    And the owner is killed
    And 4 s pass
    And the store accepts every host again
    And 2 s pass
    Then every host reports the job as completed
    And the owner has a higher token than any before
