Feature: The report on service-level burn
  Scenario: A host that lags and one that never reported
    # Guards against a report that takes the newest minutes of the slowest host
    # as missing, and against a silent host that nobody notices.
    When one host is a period behind and a seat holder has never reported
    Then the report ends where the slower host has got to
    And only the silent host has missing counts

  Scenario: A host that lags for long
    # Guards against a report that one stuck host holds back for good.
    When one host is ten periods behind
    Then the report goes on without it and shows its counts as missing

  Scenario: Windows in words
    # Guards against missing data that read as good in the text or on the page.
    When the words of a good, an idle, a burning and missing windows are read
    Then missing windows say so and none of them says good

  Scenario: The page
    # Guards against a page that loads files, runs scripts or lets a queue's
    # name break it.
    When the page of a queue with markup in its name is made
    Then it has a plot and loads nothing, and the name is only text

  Scenario: An empty log
    # Guards against an error, and against a good report, before the first part.
    When the report and the page of an empty log are made
    Then there are no rows and the page says none
