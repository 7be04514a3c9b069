Feature: Sending a granted request to its upstream
  A request is sent once. If its connection fails, the answer is fetched by
  request id over another connection.

  Scenario: All open connections go silent while a task runs
    # Guards against a lost answer or a second execution when only the
    # connections fail.
    Given a pool test with 1 upstreams and 1 entry hosts
    When all open connections go silent 1 s into a task of 3 s
    Then the pool's requests end as "1 answered"
    And each pool request ran at most once
    And the pool's requests ended within 6 s

  Scenario: The upstream never ran an idempotent request
    # Guards against waiting for the deadline although another upstream is free.
    Given a pool test with 2 upstreams and 1 entry hosts
    When an upstream ignores an idempotent request while another one is busy
    Then the pool's requests end as "2 answered"
    And the pool's requests ended within 2 s

  Scenario: An upstream is disconnected while a task runs
    # Guards against waiting for the deadline of 20 s. The expected time is one
    # lease (2 s), the renewal that finds it expired (1.2 s) and the attempts to
    # fetch the answer (3.7 s).
    Given a pool test with 1 upstreams and 1 entry hosts
    When the upstream is disconnected 1 s into a task of 3 s
    Then the pool's requests end as "1 may-have-run"
    And the pool's requests ended within 8 s

  Scenario: Long requests use all connections that this host may open
    # Guards against leases that expire because no connection is left for their
    # renewal.
    Given a pool test with 1 upstreams and 9 entry hosts
    When 8 requests of 4 s are submitted through one entry host
    Then the pool's requests end as "8 answered"
    And each pool request ran at most once

  Scenario: All entry hosts together stay within the connection limit
    # Guards against more than 64 connections to one upstream.
    Given a pool test with 1 upstreams of 200 slots and 9 entry hosts
    When 180 requests of 1 s are submitted through all entry hosts
    Then the upstream never had more than 64 connections
    And the pool's requests end as "180 answered"
