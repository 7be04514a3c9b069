"""Whether submissions of client accounts stay within their agreed rates."""

# A bucket holds what an account may submit in this time.
BURST_S = 2.0
# Accounts with a low rate submit several jobs at once now and then.
MIN_BURST = 2.0


class AccountRates:
    """One token bucket for each account; all are full at first.

    There are as many as accounts with a rate in the configuration.
    """

    def __init__(self) -> None:
        # Tokens and the time at which they were counted, by account.
        self._buckets: dict[str, tuple[float, float]] = {}

    def has_token(self, account: str, rate: float, now_s: float) -> bool:
        """Returns whether one more submission is within the agreed rate.

        Args:
            account: The client account.
            rate: Its agreed rate, per second; 0 if there is none.
            now_s: Time of the owner's clock.
        """
        return rate <= 0 or self._tokens(account, rate, now_s) >= 1

    def take(self, account: str, rate: float, now_s: float) -> bool:
        """Counts an accepted submission; returns whether it is within the rate.

        One beyond the rate takes no token, so an account that submits too much
        still has its agreed rate.
        """
        if rate <= 0:
            return True
        tokens = self._tokens(account, rate, now_s)
        is_within = tokens >= 1
        self._buckets[account] = (tokens - is_within, now_s)
        return is_within

    def _tokens(self, account: str, rate: float, now_s: float) -> float:
        size = max(MIN_BURST, BURST_S * rate)
        tokens, counted_s = self._buckets.get(account, (size, now_s))
        return min(size, tokens + rate * (now_s - counted_s))
