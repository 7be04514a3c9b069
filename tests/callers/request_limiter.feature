Feature: Limits on what clients make a host hold
  Decisions without a network: who gives way, and that all is released.

  Scenario: The client that holds the most gives way
    # Guards against refusing ordinary callers while others stall: whoever comes
    # last would be refused for as long as the first ones hold the memory.
    Given a limiter for 100 KB and 10 connections
    When client "a" holds 30 KB in each of 3 incomplete requests
    And client "b" adds an incomplete request of 20 KB
    Then 1 request of client "a" and 0 of client "b" were refused for room
    And 80 KB are held

  Scenario: A request that may be running doesn't give way
    # Guards against "not run" for a request that is running.
    Given a limiter for 100 KB and 10 connections
    When client "a" holds 45 KB in each of 2 complete requests
    And client "b" adds an incomplete request of 20 KB
    Then 0 requests of client "a" and 1 of client "b" were refused for room
    And 90 KB are held

  Scenario: One request within the limit of a body is always served
    # Guards against a share of a small machine's memory that serves nobody.
    Given a limiter for 1 KB and 10 connections
    When client "a" holds 40 KB in each of 1 complete request
    Then 0 requests of client "a" and 0 of client "b" were refused for room

  Scenario: The client with most connections loses the oldest that waits
    # Guards against clients that open connections and send nothing: load
    # balancers and ordinary callers could connect no more.
    Given a limiter for 100 KB and 10 connections
    When client "a" opens 9 connections, of which the first runs a request
    And client "b" opens 4 connections
    Then connections 2, 3 and 4 of client "a" were closed
    And 10 connections are open

  Scenario: A connection is refused when all others run requests
    # Guards against closing the connection of a request that is running.
    Given a limiter for 100 KB and 3 connections
    When client "a" opens 3 connections that all run requests
    And client "b" opens 1 connection
    Then the connection of client "b" was refused

  Scenario: Requests of many clients in any order leave nothing behind
    # Guards against a reservation that some exit path keeps, which would let the
    # host refuse ordinary callers until it is restarted.
    Given a limiter for 100 KB and 10 connections
    When 20 clients open, send, are answered, are refused and vanish in random order
    Then 0 KB are held
    And 0 connections are open
    And at no time more than 100 KB or 10 connections were counted

  Scenario: Decisions cost little with many connections
    # Guards against a decision that scans all connections for each event.
    Given a limiter for 1000 KB and 4000 connections
    When 4000 clients hold requests and 20000 more events follow
    Then at most 40 entries were visited for each event

  Scenario: Refusals are counted one by one and logged in summary
    # Guards against log lines of refused clients that displace all others.
    Given a limiter for 100 KB and 10 connections
    When 5000 requests are refused within 3 s
    Then 5000 refusals were counted in at most 4 log lines
