Feature: The client for callers
  Scenario: Retries after a lost connection and after a refusal
    # Guards against a retry with a new id, which could run twice, and against
    # a client that retries earlier than Retry-After allows.
    When a request meets a lost connection, a Retry-After of 3 and an answer
    Then all attempts carry the same id and decreasing deadlines
    And the attempt after the refusal is at least 3 s later

  Scenario: Refusals that are not retried
    # Guards against retries of requests that can never succeed.
    When requests are refused for key-refused, fits-no-host, outcome-unknown
    Then each is tried once and its verdict is returned

  Scenario: The deadline limits the attempts
    # Guards against a client that retries after its deadline.
    When every attempt is refused with Retry-After 1 for a deadline of 10 s
    Then the last refusal is returned within 10 s

  Scenario: Requests to a real entry host
    # Guards against a client that works with its stand-in only.
    Given a fleet of one entry host for the client
    When the client submits with a valid and with an unknown key
    Then the first gets the upstream's answer and the second key-refused
