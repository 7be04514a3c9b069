Feature: Orders to workers
  An order without an answer may have been carried out, or may yet be.

  Scenario: A start without an answer is carried out late
    # Guards against a second run beside one that begins seconds later.
    Given a platform fleet of 2 hosts and 2 workers
    When the next 2 starts on each worker get no answer and come 1 s late
    And a job of 6 tasks is submitted
    And 10 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: A start without an answer is lost
    # Guards against a task that waits for ever for a start that never came.
    Given a platform fleet of 2 hosts and 2 workers
    When the next 2 starts on each worker get no answer and are lost
    And a job of 6 tasks is submitted
    And 10 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: A worker starts again under its id
    # Guards against acknowledging ends of a new life by numbers of the old one.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks work for 1 s
    When a job of 40 tasks is submitted
    And 1 s pass
    And every worker starts again
    And 10 s pass
    Then the job is shown as completed by every host
    And no invariant was violated on the workers

  Scenario: Tasks that fail use up the attempts of their job
    # Guards against a job that fails too early or never.
    Given a platform fleet of 2 hosts and 2 workers
    When a job of 2 tasks that always fail is submitted
    And 12 s pass
    Then the job is shown as failed by every host
    And no task of it ran more than 3 times

  Scenario: A suspect worker is tried again
    # Guards against starts that are decided and then dropped for ever, because
    # the run itself makes the worker busy.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 2 tasks that fail at first is submitted
    And 9 s pass
    Then the job is shown as completed by every host
    And no task of it ran more than 3 times

  Scenario: A cancelled job stops
    # Guards against runs that go on, or begin, after a cancel was acknowledged.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks work for 5 s
    When a job of 6 tasks is submitted
    And the job is cancelled
    And 2 s pass
    Then the job is shown as cancelled by every host
    And nothing of it runs

  Scenario: A lasting task starts again however it ends
    # Guards against lasting work that stops for good after a crash.
    Given a platform fleet of 2 hosts and 3 workers
    When a job of 2 tasks that last is submitted
    And every worker starts again
    And 10 s pass
    Then 2 tasks of it run
    And no invariant was violated on the workers

  Scenario: A step that may not share a worker is spread
    # Guards against tasks beyond the limit for one worker.
    Given a platform fleet of 2 hosts and 3 workers
    And tasks work for 1 s
    When a job of 3 tasks with at most 1 on a worker is submitted
    And 4 s pass
    Then no worker ran 2 tasks of it at once

  Scenario: Starts stay within the capacity of the workers
    # Guards against starts that a worker has no room for.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks work for 1 s
    When a job of 40 tasks is submitted
    And 8 s pass
    Then the job is shown as completed by every host
    And no worker ever ran more than 8 tasks at once
