Feature: Turns for parsing received bytes

  Scenario: One client has many connections with much to parse
    # Guards against a client that keeps others from being parsed for as long as
    # its connections have bytes.
    Given 50 connections of one client that need 100 turns each
    When a connection of another client that needs 3 turns joins
    Then it has had its turns after at most 6 turns of all

  Scenario: Parsing takes long
    # Guards against an event loop that does nothing but parse until all is done.
    Given 5 connections of one client that need 10 turns of 3 ms each
    Then another task of the event loop runs after each turn

  Scenario: A connection ends while it waits
    # Guards against turns that stop for all others, or go on without end.
    Given 3 connections of one client that need 2 turns each
    When the second one raises an error in its first turn
    Then the others have had their turns
