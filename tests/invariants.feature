Feature: What must always hold
  An invariant checker judges runs under seeded faults from the records of the
  stand-ins and of the callers.

  Scenario Outline: The invariants hold under <faults>
    # Guards against every violation that docs/invariants.md names.
    Given a fleet under load with the faults "<faults>"
    When it runs with <seeds> seeds
    Then every invariant holds in every run

    Examples:
      | faults                                                   | seeds |
      | kill                                                     | 6     |
      | zone cut                                                 | 6     |
      | host cut                                                 | 6     |
      | platform outage, lost append answers, kill               | 6     |
      | peers cut, limit change                                  | 6     |
      | broken upstream                                          | 6     |
      | zone out                                                 | 6     |
      | limit change                                             | 6     |
      | key withdrawn, zone cut                                  | 6     |
      | kill, zone cut, host cut, platform outage, lost append answers, broken upstream, zone out, key withdrawn, limit change | 12 |

  Scenario Outline: A product that <fault> fails the check <check>
    # Guards against a check that can't fail.
    Given a fleet under load with the faults "<faults>"
    When the product <fault> in runs with 3 seeds
    Then the check "<check>" finds it

    Examples:
      | fault                                | check         | faults          |
      | accepts every claim                  | at-most-once  | kill            |
      | reports a lost call as not run       | true-refusal  | broken upstream |
      | accepts any answer                   | own-answer    | broken upstream |
      | uses the whole limit in each zone    | team-limit    | limit change    |
      | starts tasks in zones out of service | zone-out      | zone out        |
      | accepts withdrawn keys               | withdrawn-key | key withdrawn   |
      | accepts keys for another team        | key-team      | kill            |
      | reverts to older keys                | config        | key withdrawn   |
      | picks hosts of any pool              | one-pool      | kill            |

  Scenario Outline: The check <check> reports <violation>
    # Guards against a check that can't fail, where a run can't show it.
    Given evidence of <violation>
    Then only the check "<check>" reports it

    Examples:
      | check         | violation                              |
      | budget        | two reboots above a budget of one      |
      | one-pool      | a start on a host of another pool      |
      | leaving       | a start on a host that left 8 s before |
      | graceful-stop | a connection that a planned stop broke |
