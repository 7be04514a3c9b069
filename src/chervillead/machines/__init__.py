"""The hosts that workers run on: upkeep and changes of pool."""
