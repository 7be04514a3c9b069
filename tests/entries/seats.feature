Feature: Seats of a zone
  One process at a time dispatches for a zone, and a silent one is replaced.

  Scenario: A killed dispatcher is replaced within the bound
    # Guards against a zone without grants, and against two dispatchers.
    When the dispatcher of zone a is killed under load
    Then the zone is without grants for at least 3 s and at most 5.6 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A killed standby does not interrupt grants
    # Guards against a holder that waits for a dead peer to confirm its seat.
    When the standby of zone b is killed under load
    Then the zone is without grants for at least 0 s and at most 0 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A zone without hosts serves again after its dispatcher restarts
    # Guards against a host that can't get its own seat back.
    When all hosts of zone b are killed and its dispatcher is started again
    Then the zone is without grants for at least 4 s and at most 5.6 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A zone without hosts serves again after a standby restarts
    # Guards against a seat that stays with a dead host for good. The standby
    # has never heard the holder, so it waits for 30 s.
    When all hosts of zone b are killed and its standby is started again
    Then the zone is without grants for at least 33 s and at most 35.6 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A dispatcher killed during an outage of the log is replaced after it
    # Guards against a takeover that the log has not decided.
    When the dispatcher of zone a is killed while the log is down for 10 s
    Then the zone is without grants for at least 13 s and at most 17 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: The holders keep granting during an outage of the log
    # Guards against a fleet that stops with the platform.
    When the log is down for 20 s
    Then no zone is without grants
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A holder that is cut off from the log and its standbys stops
    # Guards against two dispatchers on both sides of a partition.
    When the dispatcher of zone a is cut off from the log and its zone
    Then the zone is without grants for at least 3 s and at most 5.6 s
    And no zone ever had two dispatchers and no request ran twice

  Scenario: Random faults never leave two dispatchers in a zone
    # Guards against combinations of cuts, kills and restarts.
    When hosts are cut off, killed and restarted at random
    Then no zone ever had two dispatchers and no request ran twice

  Scenario: A second process with the same host name takes the seat
    # Guards against two processes that answer for each other.
    When a second process with the dispatcher's name is started
    Then only the second process holds a seat
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A planned stop hands the duties over without a wait
    # Guards against an outage of the zone at each roll-out.
    When the dispatcher of zone a leaves under load
    Then the zone is without grants for at least 0 s and at most 0.5 s
    And every request that got an outcome was answered
    And no zone ever had two dispatchers and no request ran twice

  Scenario: A zone whose hosts stop one after the other keeps granting
    # Guards against a hand-over to a host that is about to stop itself.
    When the dispatcher and the next standby of zone a leave at the same time
    Then the zone is without grants for at least 0 s and at most 0.5 s
    And no zone ever had two dispatchers and no request ran twice
