Feature: Release of hosts that a pool doesn't need
  Idle hosts go first, and those that are due for maintenance after the others.

  Scenario: Hosts that are due for maintenance are released as well
    # Guards against hosts without tasks that stay in their pool until their turn
    # in a wave, while other pools lack hosts (a wave over half of 180 hosts: a
    # pool kept 67 hosts while another one lacked 238). Maintenance costs nothing
    # in the spare pool.
    Given a pool of 8 idle hosts of which 5 are due for maintenance
    When it should release 4 hosts
    Then 4 hosts are drained, 3 of which are not due for maintenance
