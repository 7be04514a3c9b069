Feature: Start of a fleet of processes
  Several checkouts may run their suites on one machine at the same time.

  Scenario: Ports that one run keeps are not offered to another
    # Guards against two fleets that mix because they share a port.
    Given a block of 20 kept ports
    When the same ports are asked for again
    Then they are not free
    And a server of the run that keeps them can listen on each

  Scenario Outline: An entry host whose <setting> address is taken
    # Guards against a host that runs without a part of its duties, and against
    # an exit that names no cause.
    Given a small fleet whose entry host finds its "<setting>" port taken
    When the fleet starts
    Then the start fails at once with the host's name and exit status 4
    And its last log line names the "<setting>" address

    Examples:
      | setting |
      | callers |
      | entries |
