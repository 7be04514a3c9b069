Feature: HTTP front end
  Invalid input gets a problem that names the value and what is allowed. Each
  scenario guards against invalid input that is accepted, that is refused
  without a reason or a log line, or that disturbs another caller's request.

  Scenario Outline: A caller sends invalid headers: <header>
    When a caller sends "<header>" while another caller's request runs
    Then the caller gets a <status> problem "<reason>" and a log line
    And the other caller's request is answered

    Examples:
      | header                                  | status | reason                   |
      | chervillead-size: cores=1;core=2        | 400    | malformed-size           |
      | chervillead-size: cores=-1              | 400    | malformed-size           |
      | chervillead-size: cores=1;cores=1       | 400    | malformed-size           |
      | chervillead-run-ms: 1e3                 | 400    | malformed-run-ms         |
      | chervillead-deadline-ms: 0              | 400    | malformed-deadline-ms    |
      | chervillead-deadline-ms: ²              | 400    | malformed-deadline-ms    |
      | chervillead-idempotent: yes             | 400    | malformed-idempotent     |
      | chervillead-request-id: 7               | 400    | malformed-request-id     |
      | authorization: Basic x                  | 400    | duplicate-header         |
      | content-length: 9,content-length: 9     | 400    | malformed-http           |
      | content-length: 1048577                 | 413    | body-too-large           |
      | x: no request id                        | 400    | request-id-missing       |

  Scenario Outline: A caller misuses its connection: <misuse>
    When a caller misuses its connection with <misuse>
    Then the caller gets a <status> problem "<reason>" and a log line
    And the other caller's request is answered
    And no memory for bodies is reserved and no misused request has run

    Examples:
      | misuse                    | status | reason         |
      | a slow head               | 408    | head-timeout   |
      | too many headers          | 431    | head-too-large |
      | an endless header         | 431    | head-too-large |
      | a slow body               | 408    | body-timeout   |
      | an endless chunked body   | 413    | body-too-large |
      | bytes that are not HTTP   | 400    | malformed-http |
      | an invalid address        | 400    | malformed-http |
      | a malformed key           | 401    | malformed-key  |
      | an unknown queue          | 404    | unknown-queue  |
      | an unknown path           | 404    | unknown-path   |

  Scenario: A truncated body is logged and not run
    # Guards against a partial body that is processed as a complete one.
    When a caller disconnects in the middle of its request body
    Then the log has the refusal "body-truncated"
    And no memory for bodies is reserved and no misused request has run

  Scenario: Malformed bytes after a request leave its answer intact
    # Guards against a problem written into the response to an earlier request.
    When a caller sends malformed bytes after a request that is running
    Then the caller gets the complete answer and its connection is closed

  Scenario: An invalid address in the same packet as a request before it
    # Guards against a request that runs without its body, which was dropped
    # with the request after it.
    When a caller sends a request and one with an invalid address at once
    Then the caller gets the complete answer and its connection is closed

  Scenario: A caller sends its body after the answer, and then nothing
    # Guards against a connection without any timeout, which stays for good when
    # its client is gone.
    When a caller is refused before its body, sends it, and waits for 10 s
    Then its connection is closed

  Scenario: A caller that reads no answer has to give way
    # Guards against descriptors that are no longer counted, but stay open until
    # the client has read what waits for it.
    When a caller that leaves answers unread has to give way
    Then its connection is closed

  Scenario: A refusal by the front end takes earlier submissions into account
    # Guards against "not run" for a request that another host is running.
    When a caller repeats a running request through another host without a key
    Then the caller is refused with 401 and the verdict "may-have-run"

  Scenario Outline: A repeated submission is refused for room: <part>
    # Guards against "not run" for a request that another host is running, from a
    # host that has no time to look it up.
    When a caller repeats a running request through a full host up to its <part>
    Then the caller is refused with 503 and the verdict "may-have-run"

    Examples:
      | part        |
      | connection  |
      | first bytes |
      | head        |
      | body        |

  Scenario: An answer can be fetched only by the team that submitted
    # Guards against an answer that is lost or given to another team.
    When a caller submits a request for an asynchronous answer
    Then it gets status 202 and the location of the answer
    And both hosts give its team status 202 while the request runs
    And neither host lets another team fetch or cancel the request
    And after the run both hosts give its team the answer

  Scenario: An asynchronous request is cancelled from another host
    # Guards against a cancellation that is lost or has a wrong verdict.
    When a caller submits a request for an asynchronous answer
    And the caller cancels it through another host
    Then both hosts report that it was cancelled and had run

  Scenario: A stopping host asks its callers to reconnect elsewhere
    # Guards against a keep-alive connection that is interrupted by the stop.
    When a caller sends a request and a readiness check to a stopping host
    Then it gets an answer and "not ready", and both ask it to disconnect
