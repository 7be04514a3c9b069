Feature: Aligned tables
  Scenario: Values that could break a table
    # Guards against cut names, markup read out of data, and "None" for people.
    When a table has a long name, brackets, nothing, a flag and a list
    Then every value is whole and each column starts at one place
