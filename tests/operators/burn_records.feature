Feature: Counting finished requests
  Each entry host appends what it counted; the log counts each request once.

  Scenario: What counts as good, late and failed
    # Guards against refusals of a caller's own making that burn the budget,
    # and against server errors that don't.
    When requests end in time, late, with a server error and with a refusal
    Then 1 is in time, 2 are late, 3 have failed and 2 aren't counted

  Scenario: The log loses answers and is away
    # Guards against counts that are lost or count twice when appends fail.
    When three hosts count requests while the log loses answers and is away
    Then the accepted records hold each request once and no time is missing

  Scenario: A planned stop
    # Guards against a stop that drops the counts of its last period, and one
    # that leaves the host expected for good.
    When a host counts a request and stops before its period ends
    Then its last record holds the request and says that it is the last

  Scenario: The rate of records
    # Guards against hosts that append in step or more often than agreed.
    When 27 hosts count for an hour with a period of 300 s
    Then at most 27 records are appended in any period, spread over it
