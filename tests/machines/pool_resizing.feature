Feature: Resizing of pools by their load
  Hosts move from the spare pool when tasks wait and back when they are idle.

  Scenario: Hosts are borrowed for a burst and returned
    # Guards against tasks that wait while hosts are turned off, and against
    # hosts that stay on when no pool needs them.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are turned off
    And tasks run for 4 s
    When a job of 60 tasks is submitted
    And 5 s pass
    And at least 6 hosts are in the pool by then
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once
    And 3 hosts are in the pool
    And each host gets commands from one owner at a time

  Scenario: A pool loses all of its hosts
    # Guards against a pool that asks for no host while it has none, so that its
    # tasks wait although the spare pool has hosts.
    Given a platform fleet of 2 hosts and 6 workers of which 3 are turned off
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And all workers that are on crash and do not restart
    And 20 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A pool loses all of its hosts and its owner
    # Guards against jobs that are recovered only once the pool has a worker, and
    # a pool that asks for no host while its jobs are being recovered.
    Given a platform fleet of 2 hosts and 6 workers of which 3 are turned off
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And all workers that are on crash and do not restart
    And the owner is killed
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A pool whose hosts are unknown at first asks for none
    # Guards against hosts borrowed by each new owner before it has read the list
    # of workers.
    Given a platform fleet of 3 hosts and 6 workers of which 3 are turned off
    When the owner is killed
    And 8 s pass
    And all hosts are killed and restarted
    And 8 s pass
    Then 3 hosts are in the pool

  Scenario: Hosts with long-running tasks are kept
    # Guards against stopping a task because its host seems idle.
    Given a platform fleet of 2 hosts and 6 workers
    When a job of 4 long-running tasks of which 1 may be unavailable is submitted
    And 20 s pass
    Then 3 hosts are in the pool
    And at most 0 task of the job was unavailable at a time

  Scenario: The owner of the hosts partition is killed in a burst
    # Guards against a burst that waits until a new owner of the partition knows
    # all previous commands, and against two owners that send commands to one
    # host in turn.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are turned off
    And tasks run for 6 s
    When the owner of the hosts partition is killed
    And a job of 60 tasks is submitted
    And 8 s pass
    And at least 6 hosts are in the pool by then
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: The owner of the hosts partition is killed just after its commands
    # Guards against a new owner that sends commands to hosts which the previous
    # one has just moved.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks run for 6 s
    When hosts have just been moved
    And the owner of the hosts partition is killed
    And a job of 60 tasks is submitted
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: Owners are killed while pools grow and shrink
    # Guards against tasks that are lost or run twice when hosts move.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are turned off
    And tasks run for 3 s
    When a job of 60 tasks is submitted
    And 2 s pass
    And the owner is killed
    And 6 s pass
    And the owner is killed
    And 60 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: Moves are executed late and get no reply
    # Guards against starting tasks on a host that may still be moved.
    Given a platform fleet of 2 hosts and 6 workers
    And tasks run for 3 s
    When moves are executed 2 s late and get no reply
    And turning off a host has failed
    And a job of 40 tasks is submitted
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: Hosts in a zone out of service are turned off
    # Guards against paying for hosts that may not start tasks.
    Given a platform fleet of 2 hosts and 6 workers
    When operators take the zone of all workers out of service
    And 10 s pass
    Then at most 2 hosts are in the pool

  Scenario: A pool lacks a host for a limit per worker during maintenance
    # Guards against a task that waits for a host until the end of the wave, and
    # a wave that waits for the task, when one of just as many hosts as the limit
    # needs is drained (trouble-1 of a deployment of 40 workers: 36 s).
    Given a platform fleet of 2 hosts and 6 workers of which 3 are turned off
    When a job of 6 long-running tasks, at most 2 on a worker, of which 1 may be unavailable is submitted
    And 6 s pass
    And operators publish a wave over all hosts with a cap of 2
    And 22 s pass
    Then every host was maintained once, at most 2 at a time
    And the wave is reported as completed
    And at most 1 task of the job was unavailable at a time
