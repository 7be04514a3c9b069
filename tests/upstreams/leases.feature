Feature: Leases of running tasks

  Scenario: One upstream does not respond to renewals
    # Guards against a renewal that waits for the response of another upstream.
    Given a lease test with 2 upstreams that run a task each
    When one upstream ignores control calls for 6 s
    Then the other upstream got at least 8 renewals
    And the leased task on the other upstream still runs

  Scenario: The upstream reports that it does not run a task
    # Guards against a caller that waits for a task that does not run.
    Given a lease test with 1 upstreams that run a task each
    When the upstream ignores a non-idempotent request
    Then its refusal says "may-have-run" within 1.5 s

  Scenario: A stopped task
    # Guards against a slot that is freed while its task still runs.
    Given a lease test with 1 upstreams that run a task each
    When the leased task is stopped
    Then the stop is confirmed as "True" and the task's ending is "stopped"

  Scenario: A stop without a confirmation
    # Guards against treating a missing response as a stopped task.
    Given a lease test with 1 upstreams that run a task each
    When the leased task is stopped while control calls are ignored
    Then the stop is confirmed as "False" and the task's ending is ""

  Scenario: A stop of an unknown task
    # Guards against freeing the slot of a task whose request is in transit.
    Given a lease test with 1 upstreams that run a task each
    When an unknown task is stopped
    Then the stop is confirmed as "False" and the task's ending is ""
