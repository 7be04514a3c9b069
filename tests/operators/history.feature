Feature: The past as the log tells it
  Scenario: Changes between burn records
    # Guards against refused changes in a report, a record that counts twice,
    # and a time that is made up.
    When the log holds burn records, a zone out, its repeat and a refused drain
    Then one event is placed between the burn records around it
    And each burn record counts once

  Scenario: A log that has forgotten its beginning
    # Guards against a report that is empty, or judges records against a state
    # that they weren't folded on, once old records are gone.
    When the log starts in the middle and holds a snapshot
    Then changes after the snapshot's state are told and the state is whole

  Scenario: A host from the spare pool
    # Guards against a loan that the report doesn't show as use of the buffer.
    When a host leaves a spare pool and one leaves another pool
    Then only the first is shown as taken from the buffer
