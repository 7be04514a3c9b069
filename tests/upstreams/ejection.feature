Feature: Ejection of upstreams that fail

  Scenario: An upstream fails everything fast
    # Guards against a worker that attracts work by failing it at once.
    Given 6 healthy upstreams in the outlier table
    When upstream 0 fails 3 times in a row
    Then upstream 0 has 0 usable slots after 4.9 s
    And upstream 0 has 1 usable slots after 5.1 s
    And upstream 0 has 4 usable slots after 10.1 s
    And upstream 0 has 8 usable slots after 15.1 s
    And upstream 1 has 8 usable slots after 0 s

  Scenario: An upstream fails again during slow start
    # Guards against a worker that takes work every 5 s for good.
    Given 6 healthy upstreams in the outlier table
    When upstream 0 fails 3 times in a row
    And upstream 0 fails once after 6 s
    Then upstream 0 has 0 usable slots after 15.9 s
    And upstream 0 has 1 usable slots after 16.1 s

  Scenario Outline: Half of <count> upstreams fail
    # Guards against ejecting a pool to the point where the rest is overloaded.
    Given <count> healthy upstreams in the outlier table
    When the first <failing> upstreams fail 3 times in a row
    Then <ejected> upstreams are ejected

    Examples:
      | count | failing | ejected |
      | 2     | 1       | 0       |
      | 3     | 1       | 1       |
      | 6     | 3       | 2       |
      | 8     | 4       | 2       |

  Scenario: Dispatchers of other zones have ejected upstreams too
    # Guards against a cap that holds in each zone and not in the pool.
    Given 6 healthy upstreams in the outlier table, and 2 ejected elsewhere
    When the first 1 upstreams fail 3 times in a row
    Then 0 upstreams are ejected

  Scenario: A job that can never run fails everywhere
    # Guards against ejecting hosts for what their requests do.
    Given 6 healthy upstreams in the outlier table
    When every upstream fails 9 of 10 requests
    Then 0 upstreams are ejected

  Scenario: A slow upstream loses preference
    # Guards against equal shares of work for a host that takes longer.
    Given 3 healthy upstreams in the outlier table
    When upstream 0 takes 5 times as long
    Then upstream 0 has 8 usable slots after 0 s
    And upstream 0 is chosen last
