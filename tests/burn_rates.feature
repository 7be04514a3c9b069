Feature: Burn rates of error budgets
  Burn rates are computed from counts of all entry hosts; missing is never good.

  Scenario: Counts of several hosts
    # Guards against sums that count a repeated period twice or omit a host.
    When two hosts report 99 in time and 1 late each, one period of them twice
    Then the burn rate for 0.99 is 1 over 200 requests with none missing

  Scenario: A period is lost
    # Guards against a window that looks good because its worst minutes are
    # lost.
    When one of two hosts has no counts for half of the window
    Then a quarter of the window is missing and its state is missing

  Scenario: A host disappears without its last period
    # Guards against the loss of a host that goes unnoticed, and against a
    # planned shutdown that is reported as missing from then on.
    When a killed host and a stopped host no longer hold seats
    Then one period of the killed host is missing and none of the stopped one

  Scenario: A window longer than the reported time
    # Guards against an error budget that looks full because the log has dropped
    # old counts.
    When the window starts before the first counted period
    Then the time before the first period is missing and no budget is reported

  Scenario: No counted periods
    # Guards against an empty log that is shown as good.
    When there are no counted periods
    Then the whole window is missing

  Scenario: Burning with missing data
    # Guards against a high burn rate that is hidden by missing data.
    When half of the requests failed and a period is missing
    Then the window is burning

  Scenario: Merged histograms
    # Guards against percentiles that are computed from percentiles of hosts.
    When the duration histograms of three hosts are merged
    Then the percentiles equal those of all durations within 1 %
