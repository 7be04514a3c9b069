Feature: Pools that lack hosts
  Hosts that one pool releases move directly to a pool that lacks some.

  Scenario: An idle host moves to the pool that lacks one
    # Guards against a second move by way of the spare pool.
    Given pool a lacks 2 hosts
    When pool b offers 5 idle hosts
    Then 2 of them are claimed
    And the next released hosts move to a, a and the spare pool
    And 2 moved hosts are reported to pool a

  Scenario: A shortage is not filled twice by two offers
    # Guards against more hosts than a pool requested.
    Given pool a lacks 2 hosts
    When pool b offers 1 idle host
    And pool c offers 5 idle hosts
    Then 1 of them are claimed

  Scenario: A pool does not receive its own hosts
    # Guards against moving a host to the pool that released it.
    Given pool a lacks 2 hosts
    When pool a offers 3 idle hosts
    Then 0 of them are claimed

  Scenario: A shortage expires unless its request is repeated
    # Guards against sending hosts for a burst that has ended.
    Given pool a lacks 2 hosts
    When 2 s pass for the recorded shortages
    And pool b offers 5 idle hosts
    Then 0 of them are claimed
    And the next released host moves to the spare pool
