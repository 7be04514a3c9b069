Feature: Burn records that are needed for longer than the log's retention
  Scenario: A log that keeps less than the longest window
    # Guards against a window that loses its oldest counts, and against records
    # that are republished too often, by one host or by two.
    When two hosts republish periods for 2 hours while the log keeps 400 records
    Then the log holds each period of the 2 hours, appended once per half retention

  Scenario: Periods older than the longest window
    # Guards against a log that fills up with counts that no window needs.
    When counted periods are older than the longest window
    Then none is republished
