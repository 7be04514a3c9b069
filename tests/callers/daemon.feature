Feature: Stop and loss of an entry host under load
  Real processes and real signals; counts only, no wall times.

  Scenario: A planned stop cuts no request
    # Guards against a stop that drops connections or answers part of a request.
    Given a small fleet of processes under load on every entry host
    When an entry host gets SIGTERM and its callers leave when it isn't ready
    Then no request was cut, every one ran once, and the host has exited

  Scenario: Callers of a killed entry host learn the truth
    # Guards against a second run, and "not run" for a request that ran.
    Given a small fleet of processes under load on every entry host
    When an entry host gets SIGKILL and its callers ask again on another host
    Then each outcome agrees with the upstreams' records
