Feature: Sending a granted request to its upstream
  A request is sent once; when its connection is silent, its answer is fetched
  by id over another connection.

  Scenario: All open connections go silent while a task runs
    # Guards against an answer lost, or a task run twice, when only the
    # connections are lost.
    Given a pool test with 1 upstreams and 1 entry hosts
    When all open connections go silent 1 s into a task of 3 s
    Then the pool's requests end as "1 answered"
    And each pool request ran at most once
    And the pool's requests ended within 6 s

  Scenario: The upstream never ran an idempotent request
    # Guards against waiting for the deadline when another upstream can serve.
    Given a pool test with 2 upstreams and 1 entry hosts
    When an upstream swallows an idempotent request while another one is busy
    Then the pool's requests end as "2 answered"
    And the pool's requests ended within 2 s

  Scenario: An upstream is cut off while a task runs
    # Guards against waiting for the deadline of 20 s: a lease (2 s), the renewal
    # that finds it lapsed (1.2 s) and the search for an answer (3.7 s) are due.
    Given a pool test with 1 upstreams and 1 entry hosts
    When the upstream is cut off 1 s into a task of 3 s
    Then the pool's requests end as "1 may-have-run"
    And the pool's requests ended within 8 s

  Scenario: Long requests use all connections of this host's part
    # Guards against leases that lapse because no connection is left for the
    # renewal.
    Given a pool test with 1 upstreams and 9 entry hosts
    When 8 requests of 4 s are submitted through one entry host
    Then the pool's requests end as "8 answered"
    And each pool request ran at most once

  Scenario: All entry hosts together keep to the upstream's connections
    # Guards against more than 64 connections to one upstream.
    Given a pool test with 1 upstreams of 200 slots and 9 entry hosts
    When 180 requests of 1 s are submitted through all entry hosts
    Then the upstream never had more than 64 connections
    And the pool's requests end as "180 answered"
