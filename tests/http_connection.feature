Feature: Kept connections to one server
  A call is written at most once, and a broken connection costs no call.

  Scenario Outline: The server ends a connection that is idle
    # Guards against a process that ends itself: a write to a connection that was
    # reset raises an error of another kind than a failed call.
    Given a server that <ends> each connection after its answer
    When 3 calls are made one after the other
    Then all of them are answered on connections of their own

    Examples:
      | ends   |
      | closes |
      | resets |
