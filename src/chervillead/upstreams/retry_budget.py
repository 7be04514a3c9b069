"""Retries as a part of first attempts.

A fixed number of retries for each request multiplies the load when most
requests fail; a budget bounds it at a tenth on top.
"""

# First attempts that pay for one retry.
ATTEMPTS_PER_RETRY = 10
# Retries that are possible before enough first attempts were made.
INITIAL_RETRIES = 3
# Bounds the burst of retries after a long time without failures.
MAX_RETRIES = 20


class RetryBudget:
    """Balance of retries of one entry host, counted in attempts."""

    def __init__(self) -> None:
        self._balance = INITIAL_RETRIES * ATTEMPTS_PER_RETRY

    def record_attempt(self) -> None:
        """Notes an attempt, a first one or a retry."""
        limit = MAX_RETRIES * ATTEMPTS_PER_RETRY
        self._balance = min(limit, self._balance + 1)

    def take_retry(self) -> bool:
        """Takes one retry from the balance; returns whether there was one."""
        # A retry is noted as an attempt too and must earn nothing by that.
        cost = ATTEMPTS_PER_RETRY + 1
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
