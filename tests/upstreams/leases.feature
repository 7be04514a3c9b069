Feature: Leases of running tasks

  Scenario: One upstream is silent to renewals
    # Guards against a renewal that waits for the answer of another upstream.
    Given a lease test with 2 upstreams that run a task each
    When one upstream is silent to control calls for 6 s
    Then the other upstream got at least 8 renewals
    And the leased task on the other upstream still runs

  Scenario: The upstream says that a task is gone
    # Guards against a caller that waits for a task that doesn't run.
    Given a lease test with 1 upstreams that run a task each
    When the upstream swallows a non-idempotent request
    Then its refusal says "may-have-run" within 1.5 s

  Scenario: A stopped task
    # Guards against a slot that is freed while its task runs.
    Given a lease test with 1 upstreams that run a task each
    When the leased task is stopped
    Then the stop is confirmed as "True" and the task's ending is "stopped"

  Scenario: A stop that nobody confirms
    # Guards against taking silence for a stopped task.
    Given a lease test with 1 upstreams that run a task each
    When the leased task is stopped while control calls are silent
    Then the stop is confirmed as "False" and the task's ending is ""

  Scenario: A stop of an unknown task
    # Guards against freeing the slot of a task whose request is on its way.
    Given a lease test with 1 upstreams that run a task each
    When an unknown task is stopped
    Then the stop is confirmed as "False" and the task's ending is ""
