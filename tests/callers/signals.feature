Feature: Entry hosts that receive signals
  Real processes in four zones with two hosts each and request ids of all zones.
  The invariant checks evaluate the records of upstreams and callers.

  Scenario: One entry host is killed and another one is stopped
    # Guards against a second run, a wrong answer or verdict, and a planned stop
    # that interrupts a request, also on keep-alive connections.
    Given two teams that load a fleet of 8 entry hosts on keep-alive connections
    When the dispatcher of zone b gets SIGKILL and that of zone c SIGTERM
    Then no invariant is violated
    And each caller that lost its host got a correct verdict from another
    And after SIGTERM the host served keep-alive connections and exited with 0

  Scenario: Hosts that exit at once on SIGTERM fail the check graceful-stop
    # Guards against a check that never fails.
    Given two teams that load a fleet of 4 abrupt entry hosts
    When the dispatcher of zone c gets SIGTERM in the middle of the load
    Then the check "graceful-stop" finds requests that were interrupted
