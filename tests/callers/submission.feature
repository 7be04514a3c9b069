Feature: Processing of one request
  A request is claimed, granted a slot, sent to an upstream and answered.

  Scenario: Every request of two teams is answered and runs once
    # Guards against a request that is lost or run twice without any fault.
    Given a fleet in memory with 9 entry hosts
    When 200 non-idempotent requests are submitted through all entry hosts
    Then every request has its own answer
    And every request ran once

  Scenario: A repeated submission gets the stored answer
    # Guards against a second run when the load balancer retries a request.
    Given a fleet in memory with 9 entry hosts
    When the same non-idempotent request is submitted through two entry hosts
    Then both submissions have the same answer
    And every request ran once

  Scenario: An unreachable claim holder gives the verdict may-have-run
    # Guards against "not-run" for an id that may be claimed by another host.
    Given a fleet in memory with 9 entry hosts
    When a caller submits while the holder of its claim is unreachable
    Then the caller gets the verdict "may-have-run" for "claim-unavailable"
    And no upstream has run anything

  Scenario: The verdict on a reused request id follows its claim
    # Guards against "not-run" for an id whose first submission is running.
    Given a fleet in memory with 9 entry hosts
    When a caller uses the id of a running request with another body
    Then the caller gets the verdict "may-have-run" for "request-id-reused"

  Scenario Outline: Only an idempotent request is retried after a lost answer
    # Guards against a second run of a non-idempotent request, and against a
    # missing retry of an idempotent one.
    Given a fleet in memory with 9 entry hosts
    When a caller submits an <kind> request and its first answer is lost
    Then upstreams have run it <runs> times and the caller gets "<verdict>"

    Examples:
      | kind           | runs | verdict      |
      | idempotent     | 2    | ran          |
      | non-idempotent | 1    | may-have-run |

  Scenario: A retry that gets no slot keeps the verdict of the first attempt
    # Guards against "not-run" for a submission whose first attempt may have run.
    When an idempotent request loses its first answer and then gets no slot
    Then its refusal "no-dispatcher" has the verdict "may-have-run"

  Scenario: A report of an earlier submission does not change a later claim
    # Guards against a repeated or late report that releases or ends the claim of
    # another submission, after which the request could run twice.
    Given a claim on an id that a first submission has released
    When a second submission claims the id and the first one reports again
    Then the second submission still holds the claim
