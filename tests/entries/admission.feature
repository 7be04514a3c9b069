Feature: Fair-share order of waiting requests and early refusal
  Shares order teams; queue targets order the requests of one team.

  Scenario: Freed slots go to the team farthest below its share
    # Guards against first-come, first-served order between teams, in which a
    # burst of one team starves the others.
    Given a full pool of 12 slots used by team big, with shares big 2 and small 1
    When teams big and small register 40 requests each, big first
    And two rounds of 12 running requests finish one by one
    Then team big runs 8 and team small runs 4

  Scenario: A team with less past usage is served first
    # Guards against a team that stays below its share over several seconds.
    Given two teams with equal shares, of which one used 8 slots for 4 s
    Then the other team is served next, with 6 slots in use against 4

  Scenario: Within a team the request with the earliest target goes first
    # Guards against requests with a short target that wait behind requests
    # with a long one.
    Given a full pool of 1 slots served by queues with targets of 9 s and 2 s
    When a request of each queue waits and the slot is freed
    Then the request of the queue with the short target is granted

  Scenario: A full waiting list evicts requests of the most overrepresented team
    # Guards against a burst of one team that fills the waiting list and locks
    # the other teams out.
    Given a waiting list of 10 that team big has filled
    When team small registers 8 requests
    Then 5 requests of each team wait and 5 of team big were refused

  Scenario Outline: Declared run times are clamped to measured ones
    # Guards against refusals and waits caused by wrong declared run times.
    Given 200 measured runs of 1 s, every tenth of 4 s
    Then a declared time of <declared> s is estimated as <low> to <high> s

    Examples:
      | declared | low | high |
      | 0        | 1.0 | 1.6  |
      | 2        | 2.0 | 2.0  |
      | 900      | 3.0 | 5.0  |

  Scenario: Retry-After spreads over a window that grows with the backlog
    # Guards against refused callers that retry at the same time.
    Given 500 refusals at a backlog of 0 s and 500 at one of 20 s
    Then their Retry-After spreads from 0 to 1 s and from 0 to 21 s

  Scenario: Many cancellations at once leave no entries behind
    # Guards against cancelled entries that fill the waiting list or block the
    # requests behind them.
    Given a full pool of 1 slots served by queues with targets of 9 s and 2 s
    When 900 requests register and are withdrawn, and 1 more waits
    Then the remaining request gets the slot once it is freed
