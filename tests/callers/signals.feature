Feature: Entry hosts under signals
  Real processes, four zones with two hosts each and request ids of all zones;
  the invariant checks judge the records of upstreams and callers.

  Scenario: One entry host is killed and another one stops
    # Guards against a second run, a wrong answer or verdict, and a planned stop
    # that cuts a request, also on kept connections.
    Given two teams that load a fleet of 8 entry hosts on kept connections
    When the dispatcher of zone b gets SIGKILL and that of zone c SIGTERM
    Then no invariant is violated
    And each caller that lost its host learnt the truth from another one
    And the stopped host served kept connections after SIGTERM and exited with 0

  Scenario: A product that ends at once on SIGTERM fails the check graceful-stop
    # Guards against a check that can't fail.
    Given two teams that load a fleet of 4 abrupt entry hosts
    When the dispatcher of zone c gets SIGTERM in the middle of the load
    Then the check "graceful-stop" finds requests that were cut
