Feature: Time between placement passes
  Passes share the processor with polls of workers and calls of other hosts.

  Scenario Outline: Passes that take long come less often
    # Guards against an owner that is busy with passes and lets leases run out.
    When a placement pass took <cost> ms
    Then the next one comes after <delay> ms

    Examples:
      | cost | delay |
      | 0    | 3     |
      | 1    | 3     |
      | 10   | 30    |
      | 30   | 90    |

  Scenario Outline: Passes over all waiting jobs come less often as they grow
    # Guards against an owner of thousands of waiting jobs that is busy with
    # looking at them, and against copies of stragglers that never come.
    When a pass over all waiting jobs took <cost> ms
    Then the next one over all comes after <delay> ms

    Examples:
      | cost | delay |
      | 0    | 100   |
      | 10   | 200   |
      | 90   | 1000  |
