Feature: Retry budget

  Scenario Outline: Retries after <attempts> first attempts
    # Guards against retries that multiply the load when most requests fail.
    When <attempts> first attempts are each retried as often as allowed
    Then <retries> retries were allowed

    Examples:
      | attempts | retries |
      | 1        | 3       |
      | 100      | 12      |
      | 1000     | 102     |

  Scenario: The upstream closes the connection on every request
    # Guards against a submission that retries without taking from the budget.
    Given a fleet whose only upstream closes on every request
    When 200 idempotent requests are submitted one after the other
    Then the upstream received at most 222 requests
