Feature: The platform's host list
  A host is schedulable only if both the configuration and the list allow it.

  Scenario Outline: A host that is <shown> in the list and <configured> in the configuration
    # Guards against new work on a host that leaves or is down.
    Then it is schedulable: <schedulable>

    Examples:
      | shown   | configured | schedulable |
      | live    | available  | yes         |
      | leaving | available  | no          |
      | down    | available  | no          |
      | missing | available  | yes         |
      | live    | draining   | no          |
      | live    | unknown    | no          |

  Scenario: A reboot with a lagging list and an outage
    # Guards against a list that is dropped during an outage, a retry storm, and
    # an age that doesn't show the outage.
    When hosts reboot while the list lags by 2 s and the platform is down for 30 s
    Then the list shows leaving, down and live in this order, each within 4 s
    And during the outage the list is kept, its age grows and calls are few
