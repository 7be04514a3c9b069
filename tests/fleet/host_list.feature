Feature: The platform's host list
  The list can forbid work on a host; it never allows what the fold forbids.

  Scenario Outline: A host that is <shown> in the list and <configured> in the configuration
    # Guards against new work on a host that goes away.
    Then it takes work: <work>

    Examples:
      | shown   | configured | work |
      | live    | at rest    | yes  |
      | leaving | at rest    | no   |
      | down    | at rest    | no   |
      | missing | at rest    | yes  |
      | live    | draining   | no   |
      | live    | unknown    | no   |

  Scenario: A reboot with a lagging list and an outage
    # Guards against a list that is lost in an outage, a poll storm, and an age
    # that hides the outage.
    When hosts reboot while the list lags by 2 s and the platform is away for 30 s
    Then the list shows leaving, down and live in this order, each within 4 s
    And during the outage the list is kept, its age grows and calls are few
