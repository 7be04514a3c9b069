Feature: Stop and loss of an entry host under load
  Real processes and real signals; checks counts but no wall times.

  Scenario: A planned stop interrupts no request
    # Guards against a stop that closes connections or truncates responses.
    Given a small fleet of processes under load on every entry host
    When an entry host gets SIGTERM and its callers leave once it isn't ready
    Then no request was interrupted, every one ran once, and the host has exited

  Scenario: Callers of a killed entry host get correct verdicts
    # Guards against a second run and against "not-run" for a request that ran.
    Given a small fleet of processes under load on every entry host
    When an entry host gets SIGKILL and its callers retry on another host
    Then each outcome agrees with the upstreams' records
