Feature: History from the log
  Scenario: Changes between burn records
    # Guards against rejected changes in a report, records that count twice, and
    # times that the log doesn't support.
    When the log holds burn records, a zone out, its repeat and a rejected drain
    Then the only event has the times of the burn records before and after it
    And each burn record counts once

  Scenario: A log whose oldest records are gone
    # Guards against an empty report, and against records that are folded from
    # the wrong state, once retention has dropped old records.
    When the log has lost its first records and holds a snapshot
    Then changes after the snapshot are listed and the state is complete

  Scenario: A host from the spare pool
    # Guards against a report that doesn't show hosts taken from a spare pool.
    When a host leaves a spare pool and one leaves another pool
    Then only the first is shown as taken from a spare pool
