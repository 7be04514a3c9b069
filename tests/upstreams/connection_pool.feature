Feature: Connection pool of one upstream
  Every call ends with a correct verdict, whatever happens to connections.

  Scenario: Connecting fails while other calls wait
    # Guards against calls that stay queued although no connection is opened.
    Given a connection pool of at most 2 connections that cannot connect
    When 5 calls are started on the pool
    Then the calls end as "5 not-run" within 0.3 s
    And the upstream of the pool received 0 requests

  Scenario: A call may not start after its start-by time
    # Guards against a task that starts after its slot was granted to another.
    Given a connection pool of at most 1 connections
    When a call that runs 3 s is started before 4 calls
    Then the calls end as "1 answered, 4 not-run" within 3.1 s
    And the last refusal came within 1.1 s
    And the upstream of the pool received 1 requests

  Scenario: A call is cancelled before a byte was written
    # Guards against "may have run" for a request that was never sent.
    Given a connection pool of at most 1 connections
    When a call is cancelled 0 s after its start
    Then the calls end as "1 not-run" within 0.1 s
    And the upstream of the pool received 0 requests

  Scenario: A call is cancelled after it was written
    # Guards against "not run" for a request that is running.
    Given a connection pool of at most 1 connections
    When a call is cancelled 0.5 s after its start
    Then the calls end as "1 may-have-run" within 0.6 s
    And the upstream of the pool received 1 requests

  Scenario: The pool closes while calls wait and run
    # Guards against callers that wait forever when an entry host stops.
    Given a connection pool of at most 1 connections
    When the pool closes 0.5 s after the start of 3 calls
    Then the calls end as "1 may-have-run, 2 not-run" within 0.6 s

  Scenario: More calls than connections
    # Guards against more connections than the limit of this entry host.
    Given a connection pool of at most 3 connections
    When 40 calls are started on the pool
    Then the calls end as "40 answered" within 1 s
    And the pool never had more than 3 connections

  Scenario Outline: Random faults, sequence <sequence>
    # Guards against lost wake-ups: a queued call that no connection takes.
    Given a connection pool of at most 3 connections with random faults of sequence <sequence>
    When 400 calls are started at random times
    Then every call ended by its deadline
    And the pool never had more than 3 connections

    Examples:
      | sequence |
      | 1        |
      | 2        |
      | 3        |
      | 4        |
