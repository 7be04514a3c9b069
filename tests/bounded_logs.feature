Feature: The volume of logs is bounded
  Lines beyond a limit are dropped and counted, those about decisions last.

  Scenario: A decision follows a burst of other lines
    # Guards against logs that lack the one line that explains why a job's tasks
    # were stopped: a new owner had just written a line for each run it found.
    When 5000 lines "run:found" and then 3 lines "run:stop" are logged
    Then 2000 lines "run:found" and 3 lines "run:stop" are written
    And the first line "run:stop" tells that 3000 lines were dropped before

  Scenario: There are too many decisions
    # Guards against a kind of line that has no limit.
    When 5000 lines "run:found" and then 5000 lines "run:stop" are logged
    Then 2000 lines "run:found" and 500 lines "run:stop" are written

  Scenario: Nobody reads the log of a process that is starting
    # Guards against a process that ends with a RecursionError at its start, or
    # its end, when the reader of its log is slow.
    When 500 lines of 1000 characters are logged to a full pipe at the start
    Then lines were kept within the buffer, and no error was raised
