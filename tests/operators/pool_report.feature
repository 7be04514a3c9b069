Feature: Report on the sizes of pools
  `chervillead report pools` reads the logs of entry hosts.

  Scenario: A pool lacked hosts while another one kept some
    # Guards against a report that leaves out a pool or mixes up its columns.
    Given these log lines of entry hosts
      """
      12.1 front-a-1 {"host":"front-a-1","spare":2,"columns":"hosts,min,urgent,needed,retained,size","pools":{"billing":[4,3,9,12,12,7],"receipts":[9,3,4,4,8,6]},"timestamp":1000.0,"message_type":"hosts:allocated"}
      {"host":"front-a-1","job":"0000000000000000","timestamp":1000.2,"message_type":"job:accepted"}
      """
    When the report on pools is made of them
    Then it has a row for billing with 4 hosts, 12 needed, 8 lacking
    And it has a row for receipts with 9 hosts, 4 needed, 0 lacking

  Scenario Outline: Lines that tell nothing about pools
    # Guards against a report that fails at a truncated or foreign line.
    Given these log lines of entry hosts
      """
      <line>
      """
    When the report on pools is made of them
    Then it has 0 rows

    Examples:
      | line                                                      |
      | hosts:allocated                                           |
      | {"message_type":"hosts:allocated"                         |
      | {"message_type":"hosts:allocated","pools":{"a":[1]}}      |
      | {"message_type":"process:started","error":"hosts:allocated"} |

  Scenario: The command reads files
    # Guards against a command that isn't wired to the report, and against a
    # traceback for a file that doesn't exist.
    Then `report pools` prints the table of a file and refuses a missing one
