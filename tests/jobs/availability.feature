Feature: Availability budgets
  A long-running task is stopped only while enough others of its step are
  certainly available.

  Scenario Outline: A long-running task is stopped only within its budget
    # Guards against a stop while another task of the step is unavailable. A task
    # that is still starting, or whose worker is silent, is unavailable.
    Given a long-running step of <tasks> tasks with at most <budget> unavailable
    And task 1 is <state>
    When task 0 is to be stopped for maintenance
    Then stopping it is <verdict>

    Examples:
      | tasks | budget | state                    | verdict   |
      | 3     | 1      | available                | allowed   |
      | 3     | 1      | starting                 | forbidden |
      | 3     | 1      | not running              | forbidden |
      | 3     | 1      | on a silent worker       | forbidden |
      | 3     | 1      | found by a new owner     | forbidden |
      | 3     | 2      | found by a new owner     | allowed   |
      | 3     | 2      | not running              | allowed   |
      | 3     | 0      | available                | forbidden |
      | 3     | none   | not running              | allowed   |
