Feature: Claims on request ids
  An id has one owner, and a holder never calls an id unused that it can't know.

  Scenario: A new holder does not accept ids that an earlier one may have had
    # Guards against a second run after a takeover of the claim seat.
    Given a claim table that became complete 10 s ago
    Then an id created 9 s ago is lost to claim and to look-up
    And an id created 7 s ago is accepted

  Scenario: A claim outlives its id
    # Guards against a second run of an id from a clock that is ahead.
    Given a claim table that became complete 10 s ago
    When an id created 2 s ahead of the holder's clock is claimed
    Then it is not accepted again while ids of its age are accepted

  Scenario: A full table refuses new claims and keeps the young ones
    # Guards against memory without a bound, and against forgetting an owner.
    Given a claim table for 3 claims and 100 bytes of answers
    When 4 ids are claimed and the first 3 finish with 60 bytes each
    Then the fourth claim is refused as claim-unavailable
    And the first answer is stored and the others ran without a stored answer

  Scenario: A claim handed over is known to the successor
    # Guards against a second run after a planned stop.
    Given a claim table that became complete 10 s ago
    When its claims are handed over in parts to a new holder
    Then the new holder has the same claims
    And it accepts an id created 7 s ago

  Scenario: Reports and questions reach the present holder of the claims
    # Guards against a kept holder after a new configuration, and against a
    # report of a long request that goes to another holder than its claim.
    Given claim holders in zones of index 0 to 2
    Then ids of each byte, however old, are held in the zone of their byte
    When the claims of zone 1 move to another host
    Then ids of each byte, however old, are held in the zone of their byte
