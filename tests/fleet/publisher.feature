Feature: Publishing a record
  The result of a publication is the result of its record in the log.

  Scenario: Operators race through lost replies and an outage
    # Guards against a result that differs from the log's, a record that takes
    # effect twice, and an append storm while the platform is down.
    When 6 operators race in 20 seeded runs with lost replies and outages of 3 s
    Then every publication has the result of its record in the whole log
    And each race has one winner
    And no record was appended more than 12 times

  Scenario: An outage longer than the publication's time-out
    # Guards against "refused" for a record that may be in the log.
    When a record is published while the platform is down for a minute
    Then the publication is unknown with a detail that contains "not seen in the log"

  Scenario: The rate limit is exceeded until the publication's time-out
    # Guards against "unknown" for a record that is certainly not in the log.
    When a record is published while the platform's rate limit is exceeded
    Then the publication is refused with a detail that contains "not appended"

  Scenario: A record with unknown fields
    # Guards against an append of a malformed record, which no state accepts.
    When a record with unknown fields is published
    Then the publication is refused with a detail that contains "unknown fields"
    And nothing was appended

  Scenario: The result of a record that is included in a snapshot
    # Guards against "unknown" on a host that installed a snapshot.
    When a publisher's host installs a snapshot that includes the record
    Then the publication is accepted without a detail

  Scenario: A dry run appends nothing
    # Guards against a dry run that changes the configuration.
    When records that would be accepted, stale and refused are checked
    Then the outcomes of the checks are "accepted, stale, refused"
    And nothing was appended
