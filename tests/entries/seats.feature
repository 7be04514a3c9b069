Feature: Seats of a zone
  One process at a time leads a zone, and a silent leader is replaced.

  Scenario: A killed leader is replaced within the time limit
    # Guards against a zone without grants, and against two leaders.
    When the leader of zone a is killed under load
    Then the zone is without grants for at least 3 s and at most 5.6 s
    And no zone ever had two leaders and no request ran twice

  Scenario: A killed standby does not interrupt grants
    # Guards against a leader that waits for a dead peer to confirm its seat.
    When the standby of zone b is killed under load
    Then the zone is without grants for at least 0 s and at most 0 s
    And no zone ever had two leaders and no request ran twice

  Scenario: A zone without hosts serves again after its leader restarts
    # Guards against a host that can't take its own seat again.
    When all hosts of zone b are killed and its leader is started again
    Then the zone is without grants for at least 4 s and at most 5.6 s
    And no zone ever had two leaders and no request ran twice

  Scenario: A zone without hosts serves again after a standby restarts
    # Guards against a seat that a dead host holds forever. The standby has
    # never had a heartbeat from the leader, so it waits for 30 s.
    When all hosts of zone b are killed and its standby is started again
    Then the zone is without grants for at least 33 s and at most 35.6 s
    And no zone ever had two leaders and no request ran twice

  Scenario: A leader killed during an outage of the log is replaced after it
    # Guards against a takeover without a record in the log.
    When the leader of zone a is killed while the log is down for 10 s
    Then the zone is without grants for at least 13 s and at most 17 s
    And no zone ever had two leaders and no request ran twice

  Scenario: The leaders keep granting during an outage of the log
    # Guards against a fleet that stops with the platform.
    When the log is down for 20 s
    Then no zone is without grants
    And no zone ever had two leaders and no request ran twice

  Scenario: A leader that is cut off from the log and its standbys stops
    # Guards against a leader on each side of a network partition.
    When the leader of zone a is disconnected from the log and its zone
    Then the zone is without grants for at least 3 s and at most 5.6 s
    And no zone ever had two leaders and no request ran twice

  Scenario: Random faults never cause two leaders in a zone
    # Guards against combinations of partitions, kills and restarts.
    When hosts are disconnected, killed and restarted at random
    Then no zone ever had two leaders and no request ran twice

  Scenario: A second process with the same host name takes the seat
    # Guards against two processes that act under one host name.
    When a second process with the leader's host name is started
    Then only the second process holds a seat
    And no zone ever had two leaders and no request ran twice

  Scenario: A planned stop hands the leader role over without a delay
    # Guards against an outage of the zone at each roll-out.
    When the leader of zone a stops gracefully under load
    Then the zone is without grants for at least 0 s and at most 0.5 s
    And every request with an outcome was answered
    And no zone ever had two leaders and no request ran twice

  Scenario: A zone whose hosts stop one after the other keeps granting
    # Guards against a handover to a host that is itself about to stop.
    When the leader and the next standby of zone a stop at the same time
    Then the zone is without grants for at least 0 s and at most 0.5 s
    And no zone ever had two leaders and no request ran twice
