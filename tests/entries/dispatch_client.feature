Feature: An entry host waits for a grant from any zone
  The first grant wins; the loss of a dispatcher or zone never strands a request.

  Scenario: A request that waits is served by the zone with free slots
    # Guards against waiting in one zone while another one has free slots.
    Given 3 zones of 2 slots in memory, and zone z0 is full for 30 s
    When 1 requests wait in zone z0
    Then all of them are granted within 0.1 s, outside z0
    And nothing is left registered or held besides them

  Scenario: The first grant wins and a second one is given back
    # Guards against slots that are lost when two zones grant at a time.
    Given 2 zones of 2 slots in memory, and all zones are full for 3 s
    When 1 requests wait in zone z0
    Then all of them are granted within 3.2 s, anywhere
    And nothing is left registered or held besides them

  Scenario: A dispatcher that is lost while a request waits
    # Guards against a request that waits for a dispatcher that is gone.
    Given 2 zones of 2 slots in memory, and all zones are full for 6 s
    When 1 requests wait in zone z0
    And the dispatchers of all zones are replaced by empty ones after 1 s
    Then all of them are granted within 4.0 s, anywhere

  Scenario: The own zone's dispatcher doesn't answer
    # Guards against requests that fail although other zones can serve them.
    Given 3 zones of 2 slots in memory, and the dispatcher of z0 is silent
    When 1 requests wait in zone z0
    Then all of them are granted within 0.6 s, outside z0

  Scenario: A zone goes out while its requests wait
    # Guards against waiting work that stays in a zone where nothing starts.
    Given 2 zones of 2 slots in memory, and all zones are full for 2 s
    When 2 requests wait in zone z0
    And zone z0 goes out after 1 s
    Then all of them are granted within 3.0 s, outside z0

  Scenario: A zone goes out while a grant is on its way
    # Guards against starts in a zone that operators have just taken out.
    Given 2 zones of 2 slots in memory, and grants of z0 arrive in a zone out
    When 1 requests wait in zone z0
    Then all of them are granted within 1.0 s, outside z0
    And nothing is left registered or held besides them

  Scenario: A cancelled request leaves nothing behind
    # Guards against slots and list entries held for callers that have left.
    Given 3 zones of 2 slots in memory, and all zones are full for 9 s
    When 5 requests wait in zone z0 and are cancelled after 1 s
    Then nothing is left registered or held besides them

  Scenario: No dispatcher at all
    # Guards against a request that waits for ever for nobody.
    Given 1 zones of 2 slots in memory, and the dispatcher of z0 is silent
    When 1 requests wait in zone z0
    Then all of them are refused as not run within 7.0 s

  Scenario: A job that fits no host is refused at once
    # Guards against a refusal that is taken for a busy zone.
    Given 2 zones of 2 slots in memory, and hosts offer 4 cores
    When 1 requests of 8 cores wait in zone z0
    Then all of them are refused as not run within 0.1 s

  Scenario Outline: The slot of a request that may still run is kept
    # Guards against more running work than slots and limits after a timeout.
    Given 1 zones of 2 slots in memory, and the zone is free
    When a grant is released as "<verdict>"
    Then its slot is free after <time> s and not before

    Examples:
      | verdict      | time |
      | not-run      | 0.0  |
      | ran          | 0.0  |
      | may-have-run | 2.66 |
