Feature: Ejection of failing upstreams

  Scenario: An upstream fails all requests quickly
    # Guards against a failing worker that attracts requests because it frees
    # its slots at once.
    Given 6 healthy upstreams in the outlier detector
    When upstream 0 fails 3 times in a row
    Then upstream 0 has 0 usable slots after 4.9 s
    And upstream 0 has 1 usable slots after 5.1 s
    And upstream 0 has 4 usable slots after 10.1 s
    And upstream 0 has 8 usable slots after 15.1 s
    And upstream 1 has 8 usable slots after 0 s

  Scenario: An upstream fails again during slow start
    # Guards against a failing worker that gets requests again every 5 s,
    # without a longer ejection.
    Given 6 healthy upstreams in the outlier detector
    When upstream 0 fails 3 times in a row
    And upstream 0 fails once after 6 s
    Then upstream 0 has 0 usable slots after 15.9 s
    And upstream 0 has 1 usable slots after 16.1 s

  Scenario Outline: Half of <count> upstreams fail
    # Guards against so many ejections that the rest of the pool is overloaded.
    Given <count> healthy upstreams in the outlier detector
    When the first <failing> upstreams fail 3 times in a row
    Then <ejected> upstreams are ejected

    Examples:
      | count | failing | ejected |
      | 2     | 1       | 0       |
      | 3     | 1       | 1       |
      | 6     | 3       | 2       |
      | 8     | 4       | 2       |

  Scenario: Dispatchers of other zones have ejected upstreams too
    # Guards against a limit that holds per zone but not for the whole pool.
    Given 6 healthy upstreams in the outlier detector, and 2 ejected elsewhere
    When the first 1 upstreams fail 3 times in a row
    Then 0 upstreams are ejected

  Scenario: A job that always fails does so on every upstream
    # Guards against ejecting hosts for failures that the requests cause.
    Given 6 healthy upstreams in the outlier detector
    When every upstream fails 9 of 10 requests
    Then 0 upstreams are ejected

  Scenario: A slow upstream is less preferred
    # Guards against giving slow hosts as many requests as the others.
    Given 3 healthy upstreams in the outlier detector
    When upstream 0 takes 5 times as long
    Then upstream 0 has 8 usable slots after 0 s
    And upstream 0 is chosen last
