Feature: Service-level burn
  Counts of all entry hosts become burn rates; what is missing is never good.

  Scenario: Counts of several hosts
    # Guards against sums that count a repeated part twice or drop a host.
    When two hosts report 99 in time and 1 late each, one part of them twice
    Then the burn against 0.99 is 1 over 200 requests with none missing

  Scenario: A part is lost
    # Guards against a window that looks good because its worst minutes are gone.
    When one of two hosts has no part for half of the window
    Then a quarter of the window is missing and its state is missing

  Scenario: A host is gone without its last part
    # Guards against the loss of a host that goes unnoticed, and against a host
    # that stopped as planned and is missed for good.
    When a killed host and a stopped host are no longer there
    Then one period of the killed host is missing and none of the stopped one

  Scenario: A window longer than what was reported
    # Guards against an error budget that is full because the log has forgotten.
    When the window reaches to before the first part
    Then the time before the first part is missing and no budget is given

  Scenario: No reports at all
    # Guards against an empty log that reads as a good day.
    When there are no parts
    Then the whole window is missing

  Scenario: Burning with missing data
    # Guards against a burn that is hidden behind missing data.
    When half of the requests failed and a part is missing
    Then the window is burning

  Scenario: Merged histograms
    # Guards against percentiles of percentiles.
    When the times of three hosts are merged
    Then the percentiles are those of all times together within 1 %
