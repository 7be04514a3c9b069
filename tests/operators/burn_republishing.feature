Feature: Burn records outlive the retention of the log
  Scenario: A log that keeps less than the longest window
    # Guards against a window that loses its oldest counts, against a host that
    # appends them again and again, and against two hosts that both do.
    When two hosts carry parts for 2 hours while the log keeps 400 records
    Then the log holds each part of the 2 hours, appended once in half a retention

  Scenario: Parts that no window needs
    # Guards against a log that fills with old parts.
    When parts are older than the longest window
    Then none is carried
