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

  Scenario Outline: A large response takes longer than the server may be silent
    # Guards against a transfer that is abandoned although it makes progress,
    # and against one that is waited for although it has stopped.
    Given a server that sends a response in <parts> parts and <then>
    When the response is read with 0.3 s between bytes and 2 s in all
    Then the call <outcome> after <low> s to <high> s

    Examples:
      | parts | then            | outcome  | low | high |
      | 8     | completes it    | succeeds | 0.8 | 0.9  |
      | 3     | sends no more   | fails    | 0.6 | 0.7  |
      | 40    | completes it    | fails    | 2.0 | 2.1  |

  Scenario Outline: A server sends <what> without end
    # Guards against a worker or service that fills the memory of a host: each of
    # hundreds could send 16 MB, in chunks or headers that take more.
    Given a server that sends <what> without end
    When a response of at most 1048576 bytes is read from it
    Then the call fails because the response exceeds 1048576 bytes
    And reading it took at most 3145728 bytes of memory

    Examples:
      | what             |
      | a body           |
      | small chunks     |
      | headers          |

  Scenario Outline: A request with <text> in <part>
    # Guards against a task that ends because a value from outside can't be
    # encoded, and against a value that adds a header of its own.
    Given a server that records what it receives
    When a call is made with <text> in <part>
    Then the call fails as not run and the server receives nothing

    Examples:
      | part     | text               |
      | a header | "1\r\nkey: value"  |
      | a header | "1\nkey: value"    |
      | a header | "1\u0000"          |
      | a header | "\u0111\u01a1n"    |
      | the path | "/a\r\nkey: value" |
      | the path | "/a HTTP/1.1"      |
      | the path | "/\u0111"          |
      | the host | "fe80::1%\r\nx: y" |

  Scenario: A header with all other characters
    # Guards against a check that refuses values that HTTP allows.
    Given a server that records what it receives
    When a call is made with "m\u00e1y (1);\ta, b" in a header
    Then the server receives that header unchanged
