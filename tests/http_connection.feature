Feature: Keep-alive connections to one server
  A request is sent at most once, and no call fails because an idle connection
  broke.

  Scenario Outline: The server ends an idle connection
    # Guards against a crash of the process: a write to a connection that was
    # reset raises another kind of error than a failed call.
    Given a server that <ends> each connection after its response
    When 3 calls are made in sequence
    Then each call succeeds on its own connection

    Examples:
      | ends   |
      | closes |
      | resets |
