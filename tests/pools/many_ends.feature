Feature: More ended runs than one answer of a worker lists
  What is missing from a list proves nothing until the list is complete.

  Scenario Outline: The owner is killed and its runs end before the next one polls
    # Guards against a new owner that takes one answer for all that a worker has
    # to report, and starts tasks again whose ends come with the next answers.
    Given a platform fleet of 3 hosts and 1 worker
    And tasks run for 1.5 s
    And workers have room for 1000 tasks
    When <jobs> jobs of <tasks> tasks are submitted and have started
    And the owner is killed
    And the store takes <append> ms for an append
    And 12 s pass
    Then each task of these jobs ran once
    And every host reports these jobs as completed
    And no invariant was violated on the workers

    Examples:
      | jobs | tasks | append |
      | 3    | 200   | 2      |
      | 3    | 200   | 300    |
      | 5    | 100   | 2      |
      | 5    | 180   | 2      |

  Scenario: A worker is cut off while its runs end
    # Guards against an owner that takes a run as gone because the first answer
    # after a cut lists other ends.
    Given a platform fleet of 3 hosts and 1 worker
    And tasks run for 1.5 s
    And workers have room for 1000 tasks
    When 3 jobs of 200 tasks are submitted and have started
    And the worker is cut off for 3 s
    And 5 s pass
    Then each task of these jobs ran once
    And every host reports these jobs as completed
    And no invariant was violated on the workers

  Scenario: A worker with many ends is lost as its pool changes owners
    # Guards against a new owner that waits without end for the rest of a list
    # whose worker has gone.
    Given a platform fleet of 3 hosts and 2 workers
    And tasks run for 1.5 s
    And workers have room for 1000 tasks
    When 3 jobs of 400 tasks are submitted and have started
    And the owner is killed
    And both workers are lost once they have listed some ends, and another comes
    And 25 s pass
    Then every host reports these jobs as completed

  Scenario Outline: A list of records or hosts breaks off
    # Guards against a key or host that is taken as gone since a page is missing.
    Given a service that hands out a list of <what> in pages
    When <problem>
    Then the list can't be read

    Examples:
      | what    | problem                                  |
      | records | a page is empty and says that more exist |
      | hosts   | the pages never end                      |
