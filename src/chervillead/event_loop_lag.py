"""Measures how late the event loop runs its tasks.

A process that gets too little processor time answers late on every connection
at once. The lag tells that apart from a slow peer or network.
"""

import asyncio
import collections
from collections import abc

INTERVAL_S = 0.25
# Lags above this are logged: peers give up on a call after a few of them.
LOGGED_LAG_S = 0.4
# Lags within this time count as recent, as a busy process lags in bursts.
RECENT_S = 1.0


class RecentLag:
    """The lags of the last second."""

    def __init__(self) -> None:
        self._lags_s = collections.deque[float](
            maxlen=round(RECENT_S / INTERVAL_S)
        )

    @property
    def highest_s(self) -> float:
        """The highest recent lag, in seconds."""
        return max(self._lags_s, default=0.0)

    def record(self, lag_s: float) -> None:
        """Records a lag, in seconds."""
        self._lags_s.append(lag_s)


async def watch(
    monotonic: abc.Callable[[], float],
    observe: abc.Callable[[float], None],
    log: abc.Callable[..., None],
) -> None:
    """Measures the lag at a fixed interval until cancelled.

    Args:
        monotonic: Clock in seconds.
        observe: Receives each lag, in seconds.
        log: Writes a log line; called for lags above `LOGGED_LAG_S`.
    """
    while True:
        due_s = monotonic() + INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        lag_s = max(0.0, monotonic() - due_s)
        observe(lag_s)
        if lag_s > LOGGED_LAG_S:
            log("process:lagging", lag_s=round(lag_s, 3))
