Feature: Bodies of submitted jobs
  A body is checked while it is read, in the event loop that serves all callers.

  Scenario Outline: A body of legal size with too many steps, <pattern>
    # Guards against bodies that are built whole before they are refused: one of
    # 262 KB took 800 ms and 27 MB.
    When the body is decoded
    Then it is refused
    And decoding took less memory than that of the largest valid job

    Examples:
      | pattern               |
      | bodies of empty steps |
      | bodies of small steps |
      | bodies of real steps  |

  Scenario: Step after step is read until there are too many
    # Guards against a limit on steps that is applied after all of them are
    # built.
    When a body of 20000 steps is decoded that is malformed from step 1002 on
    Then it is refused because of its number of steps
