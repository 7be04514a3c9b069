Feature: One connection to an upstream
  A request is written once, and its connection is reused only after exactly
  one complete answer to that request.

  Scenario Outline: A fault on a keep-alive connection: <failure>
    # Guards against a POST that is sent twice, an answer that is truncated or
    # delivered to another request, and the reuse of a broken connection.
    Given a fleet with one upstream and a keep-alive connection to it
    When the upstream fails a non-idempotent request with "<failure>"
    Then the connection's request ends as "<ending>"
    And the upstream received the request once
    And the next request gets its own answer

    Examples:
      | failure     | ending       |
      | unread      | may-have-run |
      | crossed     | may-have-run |
      | silent      | may-have-run |
      | close       | own answer   |
      | truncate    | own answer   |
      | twice       | own answer   |
      | late-second | own answer   |
      | lost-answer | own answer   |

  Scenario: An answer after the deadline is discarded
    # Guards against the reuse of a connection with an outstanding answer.
    Given a fleet with one upstream and a keep-alive connection to it
    When a request runs longer than its deadline
    Then the connection's request ends as "may-have-run"
    And the next request gets its own answer

  Scenario: The upstream closed a keep-alive connection while it was idle
    # Guards against the refusal of a request of which no byte was sent.
    Given a fleet with one upstream and a keep-alive connection to it
    When the upstream closes all its idle connections
    Then the next request gets its own answer
    And it took one attempt

  Scenario: A loopback TCP connection is closed without an answer
    # Guards against differences between the in-memory network and sockets.
    Given an upstream on a free port of loopback
    When it closes a keep-alive connection after reading a request
    Then the connection's request ends as "may-have-run"
    And the upstream received the request once
