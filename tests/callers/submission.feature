Feature: The path of one request
  A request is claimed, granted a slot, sent to an upstream and answered.

  Scenario: Every request of two teams is answered and runs once
    # Guards against a request that is lost or doubled on the undisturbed path.
    Given a fleet in memory with 9 entry hosts
    When 200 non-idempotent requests are submitted through all entry hosts
    Then every request has its own answer
    And every request ran once

  Scenario: A repeated submission gets the stored answer
    # Guards against a second execution when the balancer repeats a request.
    Given a fleet in memory with 9 entry hosts
    When the same non-idempotent request is submitted through two entry hosts
    Then both submissions have the same answer
    And every request ran once

  Scenario: A claim holder out of reach makes a refusal uncertain
    # Guards against "not run" for an id that may be claimed elsewhere.
    Given a fleet in memory with 9 entry hosts
    When a caller submits while the holder of its claim is cut off
    Then the caller is told "may-have-run" because of "claim-unavailable"
    And no upstream has run anything

  Scenario: A refused request id is checked with its claim
    # Guards against "not run" for an id whose first submission runs.
    Given a fleet in memory with 9 entry hosts
    When a caller uses the id of a running request with another body
    Then the caller is told "may-have-run" because of "request-id-reused"

  Scenario Outline: Only an idempotent request is repeated after a lost answer
    # Guards against a second execution, and against a missing first retry.
    Given a fleet in memory with 9 entry hosts
    When a caller submits an <kind> request and its first answer is lost
    Then upstreams have run it <runs> times and the caller is told "<verdict>"

    Examples:
      | kind           | runs | verdict      |
      | idempotent     | 2    | ran          |
      | non-idempotent | 1    | may-have-run |

  Scenario: A repeat that finds no slot says what the first attempt left open
    # Guards against "not run" said of a submission whose first attempt ran.
    When an idempotent request is lost once and then finds no slot
    Then its refusal "no-dispatcher" says "may-have-run"

  Scenario: A report of an earlier submission leaves a later claim alone
    # Guards against a repeated or late report that frees or ends a claim, after
    # which the request could run twice.
    Given a claim on an id that a first submission gave free again
    When a second submission claims the id and the first one reports again
    Then the second submission still holds the claim
