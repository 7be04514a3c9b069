"""Counts refusals by the limits on requests, and logs them in summary."""

from collections import abc

from chervillead import verdicts

# Clients that exceed limits do so thousands of times a second; lines of each
# refusal would displace all others.
LOG_INTERVAL_S = 1.0


class RefusalLog:
    """Refusals since the last log line, by reason."""

    def __init__(
        self,
        log: abc.Callable[..., None],
        increment: abc.Callable[..., None],
        monotonic: abc.Callable[[], float],
    ) -> None:
        self._log = log
        self._increment = increment
        self._monotonic = monotonic
        self._unlogged: dict[str, int] = {}
        self._logged_s: dict[str, float] = {}

    def report(self, refusal: verdicts.Refusal, client: str) -> None:
        """Counts a refusal; logs at most one line a second for each reason."""
        reason = refusal.reason
        self._increment("chervillead_requests_refused", reason)
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        now_s = self._monotonic()
        if now_s - self._logged_s.get(reason, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_s[reason] = now_s
        self._log(
            "requests:refused",
            reason=reason,
            status=refusal.status,
            count=self._unlogged.pop(reason),
            client=client,
            detail=refusal.detail,
        )
