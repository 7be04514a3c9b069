Feature: The client for callers
  Scenario: An entry host is lost, then refuses, then answers
    # Guards against a repeat under a new id, which could run twice, and against
    # a client that comes back earlier than Retry-After asks.
    When a request meets a lost connection, a Retry-After of 3 and an answer
    Then all attempts carry one id and falling deadlines
    And the attempt after the refusal is at least 3 s later

  Scenario: Refusals that a repeat can't change
    # Guards against repeats of what never succeeds.
    When requests are refused for key-refused, fits-no-host, outcome-unknown
    Then each is tried once and its verdict is passed on

  Scenario: The deadline ends the attempts
    # Guards against a client that outlives its deadline.
    When every attempt is refused with Retry-After 1 for a deadline of 10 s
    Then the last refusal is returned within 10 s

  Scenario: Against the front end
    # Guards against a client that understands its own stand-in only.
    Given a fleet of one entry host for the client
    When the client submits with a good and with a withdrawn key
    Then the first gets the upstream's answer and the second key-refused
