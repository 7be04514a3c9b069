Feature: Start of a fleet of processes
  Several checkouts may run their suites on one machine at the same time.

  Scenario: Ports that one run has reserved are not offered to another
    # Guards against messages between two fleets that share a port.
    Given a block of 20 reserved ports
    When another run tries to reserve the same ports
    Then none of them is free
    And a server of the run that reserved them can listen on each

  Scenario Outline: An entry host whose <setting> address is in use
    # Guards against a host that runs without one of its servers, and against
    # an exit without a stated cause.
    Given a small fleet whose entry host finds its "<setting>" port in use
    When the fleet starts
    Then the start fails at once with the host's name and exit status 4
    And its last log line names the "<setting>" address

    Examples:
      | setting |
      | callers |
      | entries |
