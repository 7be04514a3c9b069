"""Shares of quotas that an owner holds, and which accounts lack some."""

import asyncio

from chervillead.jobs import model
from chervillead.jobs import quotas

# Placement notes what lacks more often than this while it lacks.
LACKING_GAP_S = 1.5


class HeldShares:
    """Shares of the accounts' quotas in one partition."""

    def __init__(self) -> None:
        self._held: dict[str, int] = {}
        self._targets: dict[str, int] = {}
        # When an account last needed more than half of what it held.
        self._needed_s: dict[str, float] = {}
        # What the next task or gang of an account needs beyond its share.
        self._shortages: dict[str, model.Resources] = {}
        # Since when, and when last, an account has lacked something while none
        # of its tasks started.
        self._lacking_s: dict[str, tuple[float, float]] = {}
        self._has_shortage = asyncio.Event()

    def held(self, account: str) -> int:
        """Returns the share of an account's quota that is held."""
        return self._held.get(account, 0)

    def hold(self, account: str, share: int) -> None:
        """Sets the share that is held."""
        self._held[account] = share

    def target(self, account: str) -> int:
        """Returns the share that the ledger thinks right for this partition."""
        return self._targets.get(account, quotas.WHOLE)

    def set_target(self, account: str, share: int) -> None:
        """Sets the share that the ledger thinks right."""
        self._targets[account] = share

    def needed_s(self, account: str) -> float:
        """Returns when the share was last needed; at first, infinitely late."""
        return self._needed_s.get(account, float("-inf"))

    def note_use(self, account: str, now_s: float) -> None:
        """Notes that a task of an account starts."""
        self._needed_s[account] = now_s
        self._lacking_s.pop(account, None)

    def note_shortage(
        self, account: str, need: model.Resources, now_s: float
    ) -> None:
        """Notes that a task or a gang doesn't fit; the smallest need counts."""
        self._needed_s[account] = now_s
        since_s, last_s = self._lacking_s.get(account, (now_s, now_s))
        if now_s - last_s > LACKING_GAP_S:
            since_s = now_s
        self._lacking_s[account] = since_s, now_s
        known = self._shortages.get(account)
        if known is None or known.covers(need):
            self._shortages[account] = need
        self._has_shortage.set()

    def take_shortage(self, account: str) -> model.Resources | None:
        """Returns what an account lacks since the last call, if anything."""
        return self._shortages.pop(account, None)

    def waiting_s(self, account: str, now_s: float) -> float:
        """Returns how long an account has lacked something; 0 if nothing."""
        since_s, last_s = self._lacking_s.get(account, (now_s, now_s))
        return now_s - since_s if now_s - last_s <= LACKING_GAP_S else 0.0

    async def wait_for_shortage(self, timeout_s: float) -> None:
        """Waits until an account lacks something, or for the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._has_shortage.wait()
        except TimeoutError:
            pass
        self._has_shortage.clear()
