Feature: Publishing a record
  A publication is reported as what the log made of it.

  Scenario: Operators race through lost answers and an outage
    # Guards against a report that differs from the log's, a record that takes
    # effect twice, and a storm of appends while the platform fails.
    When 20 seeded runs of 6 racing operators lose answers and the platform for 3 s
    Then every report is the fate that the whole log gives
    And each race has one winner
    And no record was appended more than 12 times

  Scenario: An outage that outlasts the publication
    # Guards against a refusal of a record that may still be in the log.
    When a record is published while the platform is away for a minute
    Then the publication is unknown and names "not seen in the log"

  Scenario: The rate limit is reached for as long as the publication lasts
    # Guards against "unknown" for a record that certainly isn't in the log.
    When a record is published over the platform's rate limit
    Then the publication is refused and names "not appended"

  Scenario: A record without the right fields
    # Guards against an append of what no state can accept.
    When a record with unknown fields is published
    Then the publication is refused and names "unknown fields"
    And nothing was appended

  Scenario: The fate of a record that a snapshot skipped
    # Guards against "unknown" on a host that went on from a snapshot.
    When a publisher's host goes on from a snapshot that includes the record
    Then the publication is accepted and names ""

  Scenario: A check appends nothing
    # Guards against a dry run that changes the fleet.
    When records that would be accepted, stale and refused are checked
    Then the checks say "accepted, stale, refused"
    And nothing was appended
