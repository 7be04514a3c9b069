Feature: Maintenance waves
  Owners take the hosts of their pools through a wave within its cap.

  Scenario: A wave is carried out while tasks run
    # Guards against tasks that maintenance kills, and against a wave that is
    # never reported as completed.
    Given a platform fleet of 2 hosts and 4 workers
    When operators publish a wave over all hosts with a cap of 2
    And a job of 12 tasks is submitted
    And 25 s pass
    Then every host reports the job as completed
    And each task ran once
    And every host was maintained once, at most 2 at a time
    And the wave is reported as completed

  Scenario: The owner is killed in the middle of a wave
    # Guards against a new owner that does not count the hosts which the previous
    # one has just taken down.
    Given a platform fleet of 3 hosts and 4 workers
    When operators publish a wave over all hosts with a cap of 1
    And the owner takes a host down and is killed
    And 30 s pass
    Then every host was maintained once, at most 1 at a time
    And the wave is reported as completed

  Scenario: A new owner repeats maintenance that was done long ago
    # Guards against treating a worker as ended after a successful response: the
    # repeated command does not take its host down, and its tasks keep running.
    Given a platform fleet of 3 hosts and 4 workers
    And tasks run for 9 s
    When operators publish a wave over all hosts with a cap of 4
    And 22 s pass
    And a job of 6 tasks is submitted
    And the maintenance records are lost
    And a worker with tasks is cut off from all hosts but the owner
    And the store rejects the owner
    And 40 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A long-running step keeps its availability budget
    # Guards against maintenance that stops two tasks of a step at a time.
    Given a platform fleet of 2 hosts and 4 workers
    When a job of 3 long-running tasks of which 1 may be unavailable is submitted
    And operators publish a wave over all hosts with a cap of 4
    And 40 s pass
    Then every host was maintained once, at most 4 at a time
    And at most 1 task of the job was unavailable at a time
