Feature: Claims on request ids
  An id has one owner, and a holder never accepts an id that an earlier holder
  may have accepted.

  Scenario: A new holder does not accept ids that an earlier one may have had
    # Guards against a second run after a new leader took over the claims.
    Given a claim table that became complete 10 s ago
    Then an id created 9 s ago is reported as lost by a claim and a look-up
    And an id created 7 s ago is accepted

  Scenario: A claim is retained for longer than its id is valid
    # Guards against a second run if the clock that made the id is ahead.
    Given a claim table that became complete 10 s ago
    When an id created 2 s ahead of the holder's clock is claimed
    Then a second claim is not accepted while ids of that age are accepted

  Scenario: A full table refuses new claims and retains recent ones
    # Guards against unbounded memory, and against losing the owner of a claim.
    Given a claim table limited to 3 claims and 100 bytes of answers
    When 4 ids are claimed and the first 3 finish with 60 bytes each
    Then the fourth claim is refused as claim-unavailable
    And only the first answer is stored and all three requests ran

  Scenario: The successor has the claims that were handed over
    # Guards against a second run after a planned stop.
    Given a claim table that became complete 10 s ago
    When its claims are handed over in batches to a new holder
    Then the new holder has the same claims
    And it accepts an id created 7 s ago

  Scenario: Outcomes and look-ups reach the current claim holder
    # Guards against a stale cached holder after a new configuration, and
    # against the outcome of a long request that goes to another holder than
    # its claim.
    Given claim holders in the zones with index 0 to 2
    Then ids with each claim byte and of any age map to the zone of their byte
    When another host becomes the claim holder of zone 1
    Then ids with each claim byte and of any age map to the zone of their byte
