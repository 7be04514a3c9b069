Feature: Entry hosts on the platform as processes
  The daemon starts within its CPU and memory limits, serves callers over TCP
  and stops on SIGTERM.

  # Refused with 503 (queue-moving) where the third host has just joined. See
  # KNOWN-RED.txt.
  @known_red
  Scenario: A job of two steps runs through real processes
    # Guards against code that only works on the in-memory network, a slow start
    # and a stop that hangs or fails.
    When three entry hosts on the platform run a job of two steps
    Then the job is completed in 6 runs
    And each host used less than 1 s of CPU time and 100 MB to start
    And every process exited with status 0
