Feature: Workers that appear while a partition changes hands
  A worker that has seen no token of the new owner takes commands of the old one.

  Scenario: A worker registers after the new owner has recovered
    # Guards against tasks that two owners start at once: the old one hasn't
    # learned yet that it was replaced, and the worker can't know.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 2 s
    When the owner cordons all workers but the last, which is off
    And a job of 4 tasks is submitted
    And all partitions move to the next host, which recovers
    And only the previous owner reaches the last worker for 1 s
    And the last worker registers
    And 12 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: A worker that appears is used at once
    # Guards against new workers that wait for the next renewal of the ownership
    # when its interval ends.
    Given a platform fleet of 3 hosts and 2 workers
    And tasks run for 2 s
    When the owner cordons all workers but the last, which is off
    And a job of 4 tasks is submitted
    And the last worker registers
    And 0.3 s pass since then
    Then all tasks of the job have been started on the last worker
