Feature: Cancellation of requests
  Any host passes a cancellation through the claim holder to the host that
  processes the request.

  Scenario: A request that is cancelled while it waits never runs
    # Guards against a cancelled request that still takes a slot.
    When a caller cancels a request that waits for a slot
    Then the cancelled request gets "not-run" at once and never starts

  Scenario: A slot is free only after its cancelled task has stopped
    # Guards against two tasks on one slot and a stop that is never requested.
    When a caller cancels a request that runs
    Then the cancelled request gets "ran" and the next one starts after it
