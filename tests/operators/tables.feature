Feature: Aligned tables
  Scenario: Values that could break a table
    # Guards against truncated names, data interpreted as markup, and "None" in
    # the output.
    When a table has a long name, brackets, None, a flag and a list
    Then no value is cut or read as markup and each column is aligned
