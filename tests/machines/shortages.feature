Feature: Pools that lack hosts
  The hosts of a burst that ends go to the pool whose burst begins.

  Scenario: An idle host goes to the pool that lacks one
    # Guards against two moves and a detour over the spare pool.
    Given pool a lacks 2 hosts
    When pool b offers 5 idle hosts
    Then 2 of them are wanted
    And the next hosts that are given up go to a, a and the spare pool
    And pool a is told of 2 hosts

  Scenario: Two offers don't fill one gap twice
    # Guards against more hosts than a pool asked for.
    Given pool a lacks 2 hosts
    When pool b offers 1 idle host
    And pool c offers 5 idle hosts
    Then 1 of them are wanted

  Scenario: A pool doesn't give its hosts to itself
    # Guards against a host that is moved to the pool that it left.
    Given pool a lacks 2 hosts
    When pool a offers 3 idle hosts
    Then 0 of them are wanted

  Scenario: A gap that nobody asked for again is forgotten
    # Guards against hosts for a burst that is over.
    Given pool a lacks 2 hosts
    When 2 s pass in the list of gaps
    And pool b offers 5 idle hosts
    Then 0 of them are wanted
    And the next host that is given up goes to the spare pool
