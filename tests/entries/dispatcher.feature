Feature: The dispatcher of one zone
  Grants stay within slots, sizes and units; nothing waits for what can't come.

  Scenario: A zone grants only its part of a team's limit
    # Guards against two zones that together exceed a limit.
    Given dispatchers of 2 zones with 1 hosts of 8 slots and a limit of 5
    When team a registers 8 requests in zone z0
    Then team a runs 3 and waits for 5 in zone z0
    And zone z0 reports 5 requests of team a without a unit

  Scenario: A lowered limit withholds new grants only
    # Guards against grants above a lowered limit, and against stopped work.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 4
    When team a registers 6 requests in zone z0
    And the limit of team a becomes 2
    And the dispatcher of z0 gets 2 releases
    Then team a runs 2 and waits for 2 in zone z0

  Scenario: Work without a team needs no unit
    # Guards against a queue open to all that waits for units nobody has.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 0
    When team "" registers 3 requests in zone z0
    Then team "" runs 3 and waits for 0 in zone z0

  Scenario: A repeated release frees nothing twice
    # Guards against slots that are given twice after a duplicated message.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 5 requests in zone z0
    And one release reaches the dispatcher of z0 3 times
    Then team a runs 2 and waits for 2 in zone z0

  Scenario: A repeated registration gets the same grant
    # Guards against two slots for one request whose question was repeated.
    Given dispatchers of 1 zones with 1 hosts of 4 slots and a limit of 9
    When the same request registers 3 times in zone z0
    Then team a runs 1 and waits for 0 in zone z0

  Scenario: A new dispatcher counts what entry hosts report
    # Guards against a successor that grants units and slots in use again.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 4
    When an entry host reports 5 grants of team a and 2 waiting requests
    Then team a runs 5 and waits for 2 in zone z0
    When the dispatcher of z0 gets 2 releases
    Then team a runs 4 and waits for 1 in zone z0

  Scenario: Grants of a silent entry host lapse after start-by and lease
    # Guards against leaked slots, and against slots freed while work may run.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 9
    When team a registers 4 requests in zone z0
    And 2.9 s pass and the entry host expires at the dispatcher of z0
    Then team a runs 4 and waits for 0 in zone z0
    When 0.2 s pass and the entry host expires at the dispatcher of z0
    Then team a runs 0 and waits for 0 in zone z0

  Scenario: An unconfirmed dispatcher grants nothing
    # Guards against grants of a dispatcher that may have been replaced.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 3 requests in zone z0
    And the seat of the dispatcher is not confirmed
    And the dispatcher of z0 gets 1 releases
    Then the waiting requests were refused as "dispatcher-unavailable"
    And a request in zone z0 is refused as "dispatcher-unavailable" with 503

  Scenario: Requests share the memory of a host, not only its slots
    # Guards against hosts that run out of memory with slots free.
    Given dispatchers of 1 zones with 2 hosts of 8 slots and a limit of 99
    When 6 requests of 30000 MB register in zone z0
    Then team a runs 4 and waits for 2 in zone z0
    When team a registers 3 requests in zone z0
    Then team a runs 7 and waits for 2 in zone z0
    When the dispatcher of z0 gets 1 releases
    Then team a runs 7 and waits for 1 in zone z0

  Scenario: A job that fits no host is refused by name
    # Guards against jobs that wait for ever and block those behind them.
    Given dispatchers of 2 zones with 1 hosts of 8 slots and a limit of 9
    And zone z1 alone has a host of 200000 MB
    When a request of 300000 MB registers in zone z0
    Then it is refused as "fits-no-host" with 422 and no retry
    When a request of 150000 MB registers in zone z0
    Then it is refused as "no-host-in-zone" with 503 and a retry

  Scenario: A request that can't meet its deadline is refused at once
    # Guards against work that is queued although its caller will have left.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 99
    When 20 runs of 1.0 s are measured in zone z0
    And team a registers 8 requests in zone z0
    Then a request with 3.0 s left is refused as "deadline-too-short" in z0
    And a request with 9.0 s left is not refused in z0

  Scenario: A failure is noted before the slot is granted again
    # Guards against a failing host that gets new work before its ejection.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 99
    And a host is ejected at its first failed release
    When team a registers 4 requests in zone z0
    And the dispatcher of z0 gets 1 failed releases
    Then team a runs 1 and waits for 2 in zone z0

  Scenario: Work waiting in a zone taken out is sent on, and load ramps up
    # Guards against starts in a zone that is out, and a rush on its return.
    Given dispatchers of 2 zones with 2 hosts of 10 slots and a limit of 999
    When team a registers 25 requests in zone z0
    And zone z0 goes out of service
    Then the waiting requests were refused as "zone-out"
    And a request in zone z0 is refused as "zone-out" with 503
    When all grants are released and zone z0 returns
    And team a registers 30 requests in zone z0
    Then team a runs 2 and waits for 28 in zone z0
    When 5.0 s pass at the dispatcher of z0
    Then team a runs 20 and waits for 10 in zone z0

  Scenario: A grant that crosses a withdrawal stays in use until its release
    # Guards against a unit granted twice: the entry host may accept a grant
    # that was under way when it withdrew.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 3 requests in zone z0
    And all requests of team a are withdrawn in zone z0
    Then team a runs 2 and waits for 0 in zone z0
    When all grants are released in zone z0
    Then team a runs 0 and waits for 0 in zone z0

  Scenario: A grant that its entry host doesn't report lapses
    # Guards against slots leaked by a lost grant, and against early reuse.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 9
    When team a registers 2 requests in zone z0
    And the entry host reports nothing to z0 now and 2.9 s later
    Then team a runs 2 and waits for 0 in zone z0
    When the entry host reports nothing to z0 now and 0.2 s later
    Then team a runs 0 and waits for 0 in zone z0
