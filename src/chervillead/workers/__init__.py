"""Workers, which run tasks: their known state, polls and commands."""
