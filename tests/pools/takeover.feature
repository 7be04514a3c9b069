Feature: Owners of pools and what a new one takes over
  Jobs and ends survive any change of owner, and no task runs twice.

  Scenario: A job of two steps runs through to its completion
    # Guards against a path that breaks anywhere between caller and worker.
    Given a platform fleet of 3 hosts and 3 workers
    When a job of 4 tasks and then 2 tasks is submitted
    And 5 s pass
    Then the job is shown as completed by every host
    And no step began before the steps ahead of it were done
    And no invariant was violated on the workers

  Scenario: The owner is killed while tasks run
    # Guards against a new owner that starts what still runs: the lease of a
    # run that it finds counts from its own first look.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 3 s
    When a job of 6 tasks is submitted
    And the owner is killed
    And 12 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The owner is killed while some tasks have ended and others run
    # Guards against a new owner that takes the lease of a run that it finds as
    # expired, because it has offered none itself yet: the ends of the other
    # tasks keep it from its next look.
    Given a platform fleet of 3 hosts and 3 workers
    When the store takes 200 ms for an append
    And a job of 3 short tasks beside 3 tasks of 6 s is submitted
    And the owner is killed
    And 16 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The owner is turned away by the store when tasks end
    # Guards against ends that are acknowledged before they are recorded: the
    # look after the one that listed them acknowledged them all.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 1 s
    When a job of 6 tasks is submitted
    And the owner is turned away by the store
    And 15 s pass
    And the store serves every host again
    And 3 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A worker is cut off when the owner is killed
    # Guards against a new owner that doesn't know of workers that fell silent
    # before it took over: their tasks run on until the lease ends.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and drops out of the list
    And 1 s pass
    And the owner is killed
    And 30 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: All hosts are killed and start again while a worker is cut off
    # Guards against hosts that know no workers but the listed ones when they
    # start.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and drops out of the list
    And all hosts are killed and start again
    And 30 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: All hosts start again after the list of workers was emptied
    # Guards against a look into the list's history that is sized by the workers
    # that are listed at the moment: after an outage of the store there are few.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks work for 5 s
    When a job of 6 tasks is submitted
    And a worker with tasks is cut off and drops out of the list
    And 1 s pass
    And all hosts are killed and start again with an empty list of workers
    And 30 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: A host that starts learns of the workers one by one
    # Guards against a new owner that starts tasks before it knows the workers
    # that lapsed from the list while the store was away.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks work for 5 s
    When a job of 6 tasks is submitted
    And all hosts are killed and start again while workers come back one by one
    And 30 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A worker crashes for good
    # Guards against looks that keep the lease of a silent worker alive in the
    # owner's books, so that its tasks never start elsewhere.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 2 s
    When a job of 6 tasks is submitted
    And a worker with tasks crashes for good
    And 14 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: All partitions are dealt anew at once
    # Guards against an owner that goes on beside the one that replaced it.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 2 s
    When a job of 6 tasks is submitted
    And all partitions are dealt anew
    And 10 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The store is down while tasks run
    # Guards against leases that depend on the store.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks work for 4 s
    When a job of 6 tasks is submitted
    And the store is down for 5 s
    And 12 s pass
    Then the job is shown as completed by every host
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The history of the workers' list is dropped
    # Guards against a follower that stops at an offset that is gone.
    Given a platform fleet of 3 hosts and 3 workers
    When the store forgets its history
    And a job of 4 tasks is submitted
    And 5 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers
