Feature: HTTP front end
  Wrong input gets a problem that names the value and what is allowed. Each
  scenario guards against wrong input that is accepted, that is refused without
  a reason or a log line, or that disturbs another caller's request.

  Scenario Outline: A caller sends wrong headers: <header>
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
    And no bytes of bodies are held and nothing of the misuse has run

    Examples:
      | misuse                    | status | reason         |
      | a slow head               | 408    | head-timeout   |
      | too many headers          | 431    | head-too-large |
      | an endless header         | 431    | head-too-large |
      | a slow body               | 408    | body-timeout   |
      | an endless chunked body   | 413    | body-too-large |
      | bytes that are not HTTP   | 400    | malformed-http |
      | a malformed key           | 401    | malformed-key  |
      | an unknown queue          | 404    | unknown-queue  |
      | an unknown path           | 404    | unknown-path   |

  Scenario: A truncated body is logged and not run
    # Guards against a part of a body that is taken for the whole.
    When a caller hangs up within the body of its request
    Then the log says "body-truncated"
    And no bytes of bodies are held and nothing of the misuse has run

  Scenario: Rubbish behind a request leaves its answer whole
    # Guards against a problem written into the answer to an earlier request.
    When a caller sends rubbish behind a request that runs
    Then the caller gets the whole answer and its connection is closed

  Scenario: A refusal at the door tells the truth about a known id
    # Guards against "not run" for a request that another host is running.
    When a caller repeats a running request through another host without a key
    Then the caller is refused with 401 and the verdict "may-have-run"

  Scenario: A fetched answer belongs to the team that asked
    # Guards against an answer that is lost, or shown to another team.
    When a caller submits a request for an asynchronous answer
    Then it is told 202 and where to fetch the answer
    And other hosts tell its team 202 while the request runs
    And neither host shows it to another team or lets that team cancel it
    And after the run both hosts give its team the answer

  Scenario: An asynchronous request is cancelled from another host
    # Guards against a cancellation that is lost or whose verdict is untrue.
    When a caller submits a request for an asynchronous answer
    And the caller cancels it through another host
    Then both hosts tell that it was cancelled and had run

  Scenario: A stopping host sends its callers elsewhere
    # Guards against a kept connection that is cut when the host closes it.
    When a caller asks a stopping host for an answer and for its readiness
    Then it is answered, told that the host isn't ready, and both times to close
