Feature: The store behind a slow link
  What a host reads and writes takes as long as its link needs. A time limit
  that ignores the size of a transfer would abandon it at the same point again
  and again.

  Scenario Outline: A large transfer over a slow link
    # Guards against hosts that never get the configuration, the workers or the
    # jobs of a partition, and against records that are never stored.
    Given a store behind a link of <rate> KB a second
    When a host <transfers> <size> KB in records of 700 bytes
    Then all records have arrived within <limit> s

    Examples:
      | rate | transfers         | size | limit |
      | 600  | reads the changes | 900  | 3     |
      | 600  | reads the latest  | 900  | 4     |
      | 600  | appends           | 900  | 4     |
      | 100  | reads the latest  | 900  | 16    |

  Scenario: One page of many fails
    # Guards against a takeover that reads all pages again after each failure.
    Given a store behind a link of 600 KB a second
    And the second page of the latest records fails once
    When a host reads the latest 900 KB in records of 700 bytes
    Then all records have arrived within 5 s
    And no page was read again after it had arrived
