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
