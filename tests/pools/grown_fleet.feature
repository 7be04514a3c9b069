Feature: Troubles of grown deployments
  Workers that are heard by turns, configurations in quick succession, bursts of
  jobs, and many jobs for one rack. Workers that crash by turns are in
  crashing_tasks.feature.

  Scenario: Workers answer nothing for a short time, by turns
    # Guards against second runs of tasks whose worker is heard again before its
    # lease ends, and against workers that are given up meanwhile.
    Given a platform fleet of 2 hosts and 4 workers
    And tasks run for 1 s
    When a job of 120 tasks is submitted
    And the first 2 workers answer nothing for 1.4 s, 5 times, 1.4 s apart
    And 20 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: Workers answer nothing for longer than a lease, by turns
    # Guards against tasks that are never started elsewhere, and against a worker
    # that gets none after its second return.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 3 s
    When a job of 48 tasks is submitted
    And the first 2 workers answer nothing for 7 s, 2 times, 3 s apart
    And 40 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: Configurations come in quick succession
    # Guards against hosts that lag behind by one poll for each version, and
    # against calls that are refused while versions change.
    Given a platform fleet of 3 hosts and 2 workers
    When 25 configurations are published 0.08 s apart
    And 20 jobs are submitted while they are
    Then each host had the last configuration within 1 s
    And every job was accepted and completed

  Scenario: Most jobs have their data in one rack
    # Guards against jobs that wait for the rack of their data while other racks
    # are idle.
    Given a platform fleet of 2 hosts and 4 workers
    And tasks run for 1 s
    When 8 jobs of 8 tasks with data in rack r1-0 are submitted at once
    And 3 s pass
    Then every job was accepted and completed
    And no invariant was violated on the workers

  Scenario: A burst for one rack waits while the other rack is idle
    # Guards against jobs that wait behind others that no worker with room may run.
    Given a platform fleet of 2 hosts and 4 workers
    And tasks run for 1 s
    When 12 jobs of 8 tasks that require label r1-0 are submitted at once
    And a job of 4 tasks is submitted
    And 2 s pass
    Then every host reports the job as completed

  Scenario: Many jobs come at once
    # Guards against jobs that are lost, or refused without saying that they did
    # not run, when a burst meets an owner.
    Given a platform fleet of 3 hosts and 4 workers
    When 100 jobs of 4 tasks are submitted at once
    And 25 s pass
    Then every job was completed, or refused as not run
    And no invariant was violated on the workers

  Scenario Outline: Open connections are lost while tasks run
    # Guards against tasks that run twice, or are given up, because the answers
    # of their worker, the store or a peer were lost with a connection, and
    # against callers of a connection that fell silent for good. Guards also
    # against an owner that keeps an old token, as it never learned that another
    # host had its partition meanwhile, and whose reports are refused for ever.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 1.5 s
    When a job of 60 tasks is submitted
    And all open connections <are lost>, 4 times, 1.7 s apart
    And 25 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

    Examples:
      | are lost         |
      | are reset        |
      | fall silent      |

  Scenario: Two hosts can't reach each other while a third reaches both
    # Guards against a host that takes an owner for gone because it can't reach
    # it: one job would be owned, and started, twice.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 1.5 s
    When a job of 40 tasks is submitted
    And the owner and another host can't reach each other for 6 s
    And 20 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: All hosts lose power right after a job was accepted
    # Guards against an accepted job that only lived in a process, and against
    # second runs of tasks that go on running meanwhile.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 4 s
    When a job of 8 tasks is submitted
    And all hosts are killed and restarted
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A worker that left isn't used again after all hosts restart
    # Guards against restarted hosts that take a server from the history of the
    # list of workers for one that lives.
    Given a platform fleet of 3 hosts and 3 workers
    When a worker leaves
    And all hosts are killed and restarted
    And 4 s pass
    And a job of 12 tasks is submitted
    And 15 s pass
    Then every host reports the job as completed
    And the worker that left got no command
