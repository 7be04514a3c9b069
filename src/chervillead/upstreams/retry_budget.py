"""Retry budget: limits retries to a fraction of the first attempts.

A fixed number of retries per request multiplies the load when most requests
fail; the budget limits the additional load to a tenth.
"""

# First attempts that allow one retry.
ATTEMPTS_PER_RETRY = 10
# Retries that are allowed before any first attempt.
INITIAL_RETRIES = 3
# Limits the burst of retries after a long time without failures.
MAX_RETRIES = 20


class RetryBudget:
    """Retry budget of one entry host; the balance is counted in attempts."""

    def __init__(self) -> None:
        self._balance = INITIAL_RETRIES * ATTEMPTS_PER_RETRY

    def record_attempt(self) -> None:
        """Records an attempt, either a first one or a retry."""
        limit = MAX_RETRIES * ATTEMPTS_PER_RETRY
        self._balance = min(limit, self._balance + 1)

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        # A retry is recorded as an attempt as well; the additional 1 makes up
        # for what that adds to the balance.
        cost = ATTEMPTS_PER_RETRY + 1
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
