Feature: Pools that follow their load
  Hosts come from the spare pool when jobs wait and go back when they are idle.

  Scenario: A burst borrows hosts and gives them back
    # Guards against a burst that waits beside hosts that are switched off, and
    # against hosts that stay on when nobody needs them.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are switched off
    And tasks run for 4 s
    When a job of 60 tasks is submitted
    And 5 s pass
    And at least 6 hosts are in the pool by then
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once
    And 3 hosts are in the pool
    And each host gets commands from one owner at a time

  Scenario: Lasting tasks keep their hosts
    # Guards against a task that is ended because its host seemed to be idle.
    Given a platform fleet of 2 hosts and 6 workers
    When a job of 4 long-running tasks of which 1 may be unavailable is submitted
    And 20 s pass
    Then 3 hosts are in the pool
    And at most 0 task of the job was unavailable at a time

  Scenario: The owner of all hosts is killed in a burst
    # Guards against a burst that waits until a new owner of all hosts is sure of
    # all former orders, and against two owners that order one host in turn.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are switched off
    And tasks run for 6 s
    When the owner of the hosts partition is killed
    And a job of 60 tasks is submitted
    And 8 s pass
    And at least 6 hosts are in the pool by then
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: The owner of all hosts is killed just after its orders
    # Guards against a new owner that orders hosts which the former one has just
    # moved.
    Given a platform fleet of 3 hosts and 6 workers
    And tasks run for 6 s
    When hosts have just been moved
    And the owner of the hosts partition is killed
    And a job of 60 tasks is submitted
    And 30 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: Owners are killed while pools grow and shrink
    # Guards against tasks that are lost or run twice with the hosts that move.
    Given a platform fleet of 3 hosts and 8 workers of which 5 are switched off
    And tasks run for 3 s
    When a job of 60 tasks is submitted
    And 2 s pass
    And the owner is killed
    And 6 s pass
    And the owner is killed
    And 60 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And each host gets commands from one owner at a time

  Scenario: Moves are carried out late and without an answer
    # Guards against work that starts on a host whose order may still come.
    Given a platform fleet of 2 hosts and 6 workers
    And tasks run for 3 s
    When moves are executed 2 s late and get no reply
    And a host is about to be turned off
    And a job of 40 tasks is submitted
    And 30 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: Hosts in a zone that was taken out are turned off
    # Guards against paid hosts that may not start anything.
    Given a platform fleet of 2 hosts and 6 workers
    When operators take the zone of all workers out of service
    And 10 s pass
    Then at most 2 hosts are in the pool
