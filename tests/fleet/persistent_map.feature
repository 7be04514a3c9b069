Feature: Mappings that share what did not change
  Changed copies behave like copied dictionaries.

  Scenario: Random changes match a dictionary
    # Guards against a change that shows in an earlier copy, and against an order
    # that depends on when the changes were merged.
    When hypothesis changes persistent maps and dictionaries alike
    Then each copy equals its dictionary in content and order
