Feature: Burn report
  Scenario: A host that lags and one that never reported
    # Guards against a report that shows the latest minutes of the slowest host
    # as missing, and against a silent host that goes unnoticed.
    When one host is a period behind and a host with a seat has never reported
    Then the report ends at the last period of the slower host
    And only the silent host has missing counts

  Scenario: A host that lags by many periods
    # Guards against a report that a single stuck host holds back forever.
    When one host is ten periods behind
    Then the report doesn't wait for it and shows its counts as missing

  Scenario: Text of a window
    # Guards against missing data that are shown as good in text or on the page.
    When a good, an idle, a burning and windows with missing data are formatted
    Then windows with missing data are shown as missing and never as good

  Scenario: The HTML page
    # Guards against a page that loads files, runs scripts or is broken by
    # markup in a queue's name.
    When the page of a queue with markup in its name is rendered
    Then it has a plot, loads no other resources and escapes the name

  Scenario: An empty log
    # Guards against an error or a good report before the first burn record.
    When the report and the page of an empty log are created
    Then the report has no rows and the page shows none
