Feature: Burn records
  Each entry host appends counts of its finished requests to the log.

  Scenario: Classification of finished requests
    # Guards against rejections caused by the request itself that use up the
    # error budget, and against server errors that don't.
    When requests end in time, late, with server errors and with rejections
    Then 1 is in time, 2 are late, 3 have failed and 2 are not counted

  Scenario: The log drops replies and is unavailable
    # Guards against requests that are lost or counted twice when appends fail.
    When three hosts count requests while the log drops replies and is unavailable
    Then the accepted records count each request once and cover all of the time

  Scenario: A planned shutdown
    # Guards against a shutdown that loses the counts of the last period, and
    # against a stopped host that is reported as missing from then on.
    When a host counts a request and stops before its period ends
    Then its last record counts the request and is marked as the last

  Scenario: Rate of burn records
    # Guards against hosts that append at the same time, or more than once per
    # period.
    When 27 hosts count for an hour with a period of 300 s
    Then at most 27 records are appended in any period, spread over it
