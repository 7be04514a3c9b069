Feature: Order of waiting work and early refusal
  Shares decide between teams, targets between requests of one team.

  Scenario: Freed slots go to the team farthest below its share
    # Guards against first come first served between teams.
    Given a full pool of 12 slots used by team big, with shares big 2 and small 1
    When teams big and small register 40 requests each, big first
    And all 12 running requests end twice, one after the other
    Then team big runs 8 and team small runs 4

  Scenario: A team that was idle catches up on past use
    # Guards against windows in which a team stays below its share.
    Given two teams with equal shares, of which one used 8 slots for 4 s
    Then the other team is nearer to its turn at 6 slots to 4

  Scenario: Within a team the nearest target goes first
    # Guards against a queue with a short target behind one with a long target.
    Given a full pool of 1 slots served by queues with targets of 9 s and 2 s
    When a request of each queue waits and the slot is freed
    Then the request of the queue with the short target is granted

  Scenario: One team can't keep a full waiting list to itself
    # Guards against a flood of one team that shuts the others out.
    Given a waiting list of 10 that team big has filled
    When team small registers 8 requests
    Then 5 requests of each team wait and 5 of team big were refused

  Scenario Outline: Declared run times are corrected by measured ones
    # Guards against refusals and queueing by declared times that are far off.
    Given 200 measured runs of 1 s, every tenth of 4 s
    Then a declared time of <declared> s counts as <low> to <high> s

    Examples:
      | declared | low | high |
      | 0        | 1.0 | 1.6  |
      | 2        | 2.0 | 2.0  |
      | 900      | 3.0 | 5.0  |

  Scenario: Retry-After spreads over a window that grows with the backlog
    # Guards against refused callers that come back in step.
    Given 500 refusals at a backlog of 0 s and 500 at one of 20 s
    Then they spread from 0 to 1 s and from 0 to 21 s

  Scenario: A wave of cancellations leaves no trace
    # Guards against cancelled entries that fill the list or block its order.
    Given a full pool of 1 slots served by queues with targets of 9 s and 2 s
    When 900 requests register, are withdrawn and 1 more waits
    Then the slot goes to that one when it is freed
