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
      | broken upstream                                          | 6     |
      | zone out                                                 | 6     |
      | limit change                                             | 6     |
      | key withdrawn, zone cut                                  | 6     |
      | kill, zone cut, host cut, platform outage, lost append answers, broken upstream, zone out, key withdrawn, limit change | 12 |
