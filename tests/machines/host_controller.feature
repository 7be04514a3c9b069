Feature: Orders of the owner of all hosts
  Owners of pools ask; the cap of a wave and the state of hosts decide.

  Scenario: The cap of a wave holds whatever the owners of pools ask
    # Guards against owners that split the cap by different lists while hosts
    # change their pools.
    Given a wave over 4 hosts with a cap of 2 and a new owner of all hosts
    When 4 s pass for the owner of all hosts
    And upkeep of all hosts is asked for
    Then 2 hosts begin their upkeep
    When 3 s pass for the owner of all hosts
    And upkeep of all hosts is asked for
    Then 4 hosts have begun their upkeep

  Scenario: An order without an answer counts against the cap
    # Guards against a host that goes down late beside a full wave.
    Given a wave over 4 hosts with a cap of 1 and a new owner of all hosts
    When 4 s pass for the owner of all hosts
    And the next order gets no answer
    And upkeep of all hosts is asked for
    And 3 s pass for the owner of all hosts
    And upkeep of the others is asked for
    Then 0 hosts begin their upkeep

  Scenario: Upkeep waits until the former owner's hosts are up again
    # Guards against a wave that is over its cap after a change of owner.
    Given a wave over 4 hosts with a cap of 2 and a new owner of all hosts
    When upkeep of all hosts is asked for
    Then 0 hosts begin their upkeep

  Scenario: A host whose record can't be stored is not ordered
    # Guards against orders that the next owner knows nothing of.
    Given a wave over 4 hosts with a cap of 2 and a new owner of all hosts
    When 4 s pass for the owner of all hosts
    And the store takes no records
    And upkeep of all hosts is asked for
    Then 0 hosts begin their upkeep
