Feature: Choice of the upstream for a grant

  Scenario Outline: The upstream with the most free usable slots
    # Guards against grants beyond the usable slots and against uneven load.
    When upstreams offer 8 slots, usable "<usable>", used "<used>"
    Then the chosen upstream is "<chosen>"

    Examples:
      | usable | used  | chosen |
      | 8,8,8  | 3,2,4 | 1      |
      | 8,0,8  | 3,0,4 | 0      |
      | 2,0,1  | 2,0,1 | none   |
      | 1,8,4  | 0,8,1 | 2      |
