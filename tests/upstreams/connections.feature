Feature: One connection to an upstream
  A request is written once, and its connection is used again only after one
  whole answer to that request.

  Scenario Outline: A fault on a kept connection: <failure>
    # Guards against a POST that is sent twice, an answer that is passed on in
    # part or to another request, and a broken connection that is used again.
    Given a fleet with one upstream and a kept connection to it
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

  Scenario: An answer after the deadline reaches nobody
    # Guards against the reuse of a connection on which an answer is still due.
    Given a fleet with one upstream and a kept connection to it
    When a request runs longer than its deadline
    Then the connection's request ends as "may-have-run"
    And the next request gets its own answer

  Scenario: A kept connection that the upstream closed while it was idle
    # Guards against a refusal of a request that no byte was sent of.
    Given a fleet with one upstream and a kept connection to it
    When the upstream closes all its idle connections
    Then the next request gets its own answer
    And it took one attempt

  Scenario: A kept connection over loopback TCP is closed without an answer
    # Guards against a difference between the memory network and real sockets.
    Given an upstream on a free port of loopback
    When it closes a kept connection after it read a request
    Then the connection's request ends as "may-have-run"
    And the upstream received the request once
