Feature: Records that the store never accepts
  A record that is refused for good fails alone. Those before and behind it are
  stored, in order.

  Scenario Outline: One of <count> records is longer than the store accepts
    # Guards against a partition whose records wait for ever behind one that is
    # sent again and again: no end, cancel or submission is confirmed any more.
    Given a store that accepts records of 1000 bytes
    And a host that takes the limit to be <limit> bytes
    When <count> records are queued, of which number <number> has 2000 bytes
    Then all records but number <number> are stored within 2 s, in order
    And number <number> fails as refused, for certain not stored
    And the store rejected at most <rejected> appends
    And records that are queued afterwards are stored

    Examples:
      | count | number | limit  | rejected |
      | 1     | 0      | 100000 | 1        |
      | 40    | 0      | 100000 | 6        |
      | 40    | 17     | 100000 | 6        |
      | 40    | 39     | 100000 | 6        |
      | 40    | 17     | 1000   | 0        |

  Scenario: Several records are longer than the store accepts
    # Guards against a search that ends after the first one.
    Given a store that accepts records of 1000 bytes
    And a host that takes the limit to be 100000 bytes
    When 40 records are queued, of which number 3, 4 and 30 has 2000 bytes
    Then all records but number 3, 4 and 30 are stored within 3 s, in order
    And number 3, 4 and 30 fails as refused, for certain not stored

  Scenario: A key is longer than the store can take
    # Guards against an error that ends the owner: the length of a key is sent in
    # one byte.
    Given a store that accepts records of 1000 bytes
    And a host that takes the limit to be 1000 bytes
    When 3 records are queued, of which number 1 has a key of 300 characters
    Then all records but number 1 are stored within 2 s, in order
    And number 1 fails as refused, for certain not stored

  Scenario Outline: The store answers with <status> for a second
    # Guards against records that are given up although the store only is busy.
    Given a store that answers appends with <status> for 1 s
    And a host that takes the limit to be 1000 bytes
    When 40 records are queued, of which number none has 2000 bytes
    Then all records but number none are stored within 3 s, in order

    Examples:
      | status |
      | 429    |
      | 503    |
      | 507    |

  Scenario: The record of a submission is longer than the store accepts
    # Guards against a pool that confirms nothing any more after one submission,
    # and against a caller who comes back with it for ever.
    Given a platform fleet of 2 hosts and 1 worker
    And records of the fleet may have at most 3000 bytes
    When another job with a text of 3900 characters is submitted
    And a job of 3 tasks is submitted
    And 5 s pass
    Then that job is refused as too large, for certain not run
    And every host reports the job as completed
    And the log names the refused record of kind spec
