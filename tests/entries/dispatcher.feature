Feature: The dispatcher of one zone
  Grants stay within slots, sizes and units; requests wait only if a grant is
  possible.

  Scenario: A zone grants only its units of a team's limit
    # Guards against two zones that exceed a limit together.
    Given dispatchers of 2 zones with 1 hosts of 8 slots and a limit of 5
    When team a registers 8 requests in zone z0
    Then team a runs 3 and waits for 5 in zone z0
    And zone z0 reports 5 requests of team a without a unit

  Scenario: A lowered limit only holds back new grants
    # Guards against grants above a lowered limit, and against stopping running
    # requests.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 4
    When team a registers 6 requests in zone z0
    And the limit of team a becomes 2
    And the dispatcher of z0 gets 2 releases
    Then team a runs 2 and waits for 2 in zone z0

  Scenario: Requests without a team need no unit
    # Guards against requests of a queue that is open to all waiting for units
    # of a team.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 0
    When team "" registers 3 requests in zone z0
    Then team "" runs 3 and waits for 0 in zone z0

  Scenario: A repeated release has no effect
    # Guards against slots that are granted twice after a duplicate message.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 5 requests in zone z0
    And one release reaches the dispatcher of z0 3 times
    Then team a runs 2 and waits for 2 in zone z0

  Scenario: A repeated registration gets the same grant
    # Guards against two slots for one request that registered again.
    Given dispatchers of 1 zones with 1 hosts of 4 slots and a limit of 9
    When the same request registers 3 times in zone z0
    Then team a runs 1 and waits for 0 in zone z0

  Scenario: A new dispatcher restores the grants that entry hosts report
    # Guards against a successor that grants used units and slots again.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 4
    When an entry host reports 5 grants of team a and 2 waiting requests
    Then team a runs 5 and waits for 2 in zone z0
    When the dispatcher of z0 gets 2 releases
    Then team a runs 4 and waits for 1 in zone z0

  Scenario: Grants of a silent entry host expire after start-by time and lease
    # Guards against leaked slots, and against slots freed while a request may
    # still run.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 9
    When team a registers 4 requests in zone z0
    And 2.9 s pass and the dispatcher of z0 frees the expired grants
    Then team a runs 4 and waits for 0 in zone z0
    When 0.2 s pass and the dispatcher of z0 frees the expired grants
    Then team a runs 0 and waits for 0 in zone z0

  Scenario: An unconfirmed dispatcher grants nothing
    # Guards against grants by a dispatcher that may have been replaced.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 3 requests in zone z0
    And the seat of the dispatcher is not confirmed
    And the dispatcher of z0 gets 1 releases
    Then the waiting requests were refused as "dispatcher-unavailable"
    And a request in zone z0 is refused as "dispatcher-unavailable" with 503

  Scenario: Requests share the memory of a host, not only its slots
    # Guards against hosts that run out of memory although slots are free.
    Given dispatchers of 1 zones with 2 hosts of 8 slots and a limit of 99
    When 6 requests of 30000 MB register in zone z0
    Then team a runs 4 and waits for 2 in zone z0
    When team a registers 3 requests in zone z0
    Then team a runs 7 and waits for 2 in zone z0
    When the dispatcher of z0 gets 1 releases
    Then team a runs 7 and waits for 1 in zone z0

  Scenario: A request that fits no host is refused with its reason
    # Guards against requests that wait indefinitely and block those behind
    # them.
    Given dispatchers of 2 zones with 1 hosts of 8 slots and a limit of 9
    And zone z1 alone has a host of 200000 MB
    When a request of 300000 MB registers in zone z0
    Then it is refused as "fits-no-host" with 422 and no retry
    When a request of 150000 MB registers in zone z0
    Then it is refused as "no-host-in-zone" with 503 and a retry

  Scenario: A request that can't meet its deadline is refused at once
    # Guards against requests that wait although their callers will have left.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 99
    When 20 runs of 1.0 s are measured in zone z0
    And team a registers 8 requests in zone z0
    Then a request with 3.0 s left is refused as "deadline-too-short" in z0
    And a request with 9.0 s left is not refused in z0

  Scenario: A failure is recorded before the slot is granted again
    # Guards against a failing host that gets new requests before its ejection.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 99
    And a host is ejected at its first failed release
    When team a registers 4 requests in zone z0
    And the dispatcher of z0 gets 1 failed releases
    Then team a runs 1 and waits for 2 in zone z0

  Scenario: A zone out of service refuses requests, and returns with slow start
    # Guards against starts in a zone out of service, and against a load spike
    # when it returns.
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

  Scenario: A grant that crosses a withdrawal stays active until its release
    # Guards against a unit granted twice: the entry host may accept a grant
    # that was in flight when it withdrew.
    Given dispatchers of 1 zones with 1 hosts of 2 slots and a limit of 9
    When team a registers 3 requests in zone z0
    And all requests of team a are withdrawn in zone z0
    Then team a runs 2 and waits for 0 in zone z0
    When all grants are released in zone z0
    Then team a runs 0 and waits for 0 in zone z0

  Scenario: A grant that its entry host doesn't report expires
    # Guards against slots leaked by a lost grant message, and against their
    # reuse too early.
    Given dispatchers of 1 zones with 1 hosts of 8 slots and a limit of 9
    When team a registers 2 requests in zone z0
    And the entry host reports nothing to z0 now and 2.9 s later
    Then team a runs 2 and waits for 0 in zone z0
    When the entry host reports nothing to z0 now and 0.2 s later
    Then team a runs 0 and waits for 0 in zone z0
