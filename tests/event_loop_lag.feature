Feature: Lag of the event loop
  A process that gets too little processor time is told apart from a slow peer.

  Scenario Outline: A task holds up the event loop
    # Guards against a process that looks like a silent peer to the others and
    # writes nothing about it, and against lines about lags that harm nobody.
    When a task holds up the event loop for <blocked> s
    Then the highest recent lag is <low> s to <high> s
    And <lines> lines tell of the lag

    Examples:
      | blocked | low  | high | lines |
      | 0       | 0    | 0.01 | 0     |
      | 0.4     | 0.2  | 0.39 | 0     |
      | 2       | 1.8  | 2    | 1     |
