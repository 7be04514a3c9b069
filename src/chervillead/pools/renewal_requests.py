"""Renewals of a membership: their numbers, and requests to send one early."""

import asyncio

# Shortest time between two renewals that are asked for.
MIN_RENEWAL_INTERVAL_S = 0.05


class RenewalRequests:
    """Numbers renewals and wakes the task that sends them."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._sent = 0

    def request(self) -> int:
        """Asks for a renewal; returns the number of the next one."""
        self._requested.set()
        return self._sent + 1

    def begin(self) -> int:
        """Returns the number of the renewal that is about to be sent."""
        self._requested.clear()
        self._sent += 1
        return self._sent

    async def wait(self, interval_s: float) -> None:
        """Waits until a renewal is asked for, or for its interval."""
        await asyncio.sleep(MIN_RENEWAL_INTERVAL_S)
        try:
            async with asyncio.timeout(interval_s - MIN_RENEWAL_INTERVAL_S):
                await self._requested.wait()
        except TimeoutError:
            pass
