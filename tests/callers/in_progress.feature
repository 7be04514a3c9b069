Feature: Cancellation of requests
  A cancellation reaches the owner through the claim holder, from any host.

  Scenario: A cancelled request that waits never runs
    # Guards against cancelled work that still takes a slot.
    When a caller cancels a request that waits for a slot
    Then the cancelled request is told "not-run" at once and never starts

  Scenario: A slot is free only when its cancelled task has stopped
    # Guards against two tasks on one slot, and a stop that is never asked for.
    When a caller cancels a request that runs
    Then the cancelled request is told "ran" and the next one starts after it
