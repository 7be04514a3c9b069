Feature: An entry host waits for a grant from any zone
  The first grant wins, and no request depends on a single dispatcher or zone.

  Scenario: A waiting request is granted by the zone with free slots
    # Guards against a request that waits in one zone although another zone has
    # free slots.
    Given 3 zones of 2 slots in memory, and zone z0 is full for 30 s
    When 1 requests wait in zone z0
    Then all of them are granted within 0.1 s, outside z0
    And no registrations or grants are left besides theirs

  Scenario: The first grant wins and a second one is released
    # Guards against slots that leak when two zones grant the same request.
    Given 2 zones of 2 slots in memory, and all zones are full for 3 s
    When 1 requests wait in zone z0
    Then all of them are granted within 3.2 s, anywhere
    And no registrations or grants are left besides theirs

  Scenario: A dispatcher is lost while a request waits
    # Guards against a request that waits for a dispatcher that has lost it.
    Given 2 zones of 2 slots in memory, and all zones are full for 6 s
    When 1 requests wait in zone z0
    And the dispatchers of all zones restart without state after 1 s
    Then all of them are granted within 4.0 s, anywhere

  Scenario: The own zone's dispatcher doesn't answer
    # Guards against requests that fail although another zone can serve them.
    Given 3 zones of 2 slots in memory, and the dispatcher of z0 is silent
    When 1 requests wait in zone z0
    Then all of them are granted within 0.6 s, outside z0

  Scenario: A zone goes out of service while its requests wait
    # Guards against requests that stay in a zone where nothing may start.
    Given 2 zones of 2 slots in memory, and all zones are full for 2 s
    When 2 requests wait in zone z0
    And zone z0 goes out of service after 1 s
    Then all of them are granted within 3.0 s, outside z0

  Scenario: A zone goes out of service while a grant is in flight
    # Guards against starts in a zone that operators have just taken out of
    # service.
    Given 2 zones of 2 slots in memory, and z0 goes out before its grants arrive
    When 1 requests wait in zone z0
    Then all of them are granted within 1.0 s, outside z0
    And no registrations or grants are left besides theirs

  Scenario: A cancelled request leaves nothing behind
    # Guards against slots and waiting requests held for callers that have left.
    Given 3 zones of 2 slots in memory, and all zones are full for 9 s
    When 5 requests wait in zone z0 and are cancelled after 1 s
    Then no registrations or grants are left besides theirs

  Scenario: No dispatcher answers
    # Guards against a request that waits indefinitely without a dispatcher.
    Given 1 zones of 2 slots in memory, and the dispatcher of z0 is silent
    When 1 requests wait in zone z0
    Then all of them are refused as not run within 7.0 s

  Scenario: A request that fits no host is refused at once
    # Guards against a final refusal that is handled like one by a busy zone.
    Given 2 zones of 2 slots in memory, and hosts offer 4 cores
    When 1 requests of 8 cores wait in zone z0
    Then all of them are refused as not run within 0.1 s

  Scenario Outline: The slot of a request that may still run is kept
    # Guards against more running requests than slots and limits allow, after a
    # timeout.
    Given 1 zones of 2 slots in memory, and the zone is free
    When a grant is released as "<verdict>"
    Then its slot is free after <time> s and not before

    Examples:
      | verdict      | time |
      | not-run      | 0.0  |
      | ran          | 0.0  |
      | may-have-run | 2.66 |
