"""Pools that asked for more hosts than the spare pool had.

Answers the pattern of a burst that begins while the last one ends: the hosts of
the former go to the latter directly, at once and by one move instead of two.
"""

import typing

# A pool that is still short asks again within this time.
VALID_S = 1.2


class _Shortage(typing.NamedTuple):
    hosts: int
    until_s: float


class Shortages:
    """How many hosts pools lack, and how many were sent to them."""

    def __init__(self) -> None:
        self._short: dict[str, _Shortage] = {}
        # Hosts that other pools were asked to give up for a pool.
        self._promised: dict[str, _Shortage] = {}
        # Hosts on their way that a pool hasn't been told of.
        self._sent: dict[str, int] = {}

    def note(self, pool: str, hosts: int, now_s: float) -> None:
        """Notes how many hosts a pool still lacks."""
        self._short[pool] = _Shortage(hosts, now_s + VALID_S)

    def take_sent(self, pool: str) -> int:
        """Returns how many hosts were sent to a pool since it last asked."""
        return self._sent.pop(pool, 0)

    def claim(self, offering: str, idle: int, now_s: float) -> int:
        """Returns how many idle hosts of a pool others need now."""
        claimed = 0
        for pool, short in self._short.items():
            if pool == offering or short.until_s <= now_s:
                continue
            part = min(short.hosts, idle - claimed)
            claimed += part
            self._short[pool] = short._replace(hosts=short.hosts - part)
            promised = self._promised.get(pool)
            before = 0
            if promised is not None and promised.until_s > now_s:
                before = promised.hosts
            self._promised[pool] = _Shortage(before + part, now_s + VALID_S)
        return claimed

    def destination(self, now_s: float) -> str | None:
        """Returns the pool that the next host which is given up goes to."""
        for waiting in (self._promised, self._short):
            for pool, short in waiting.items():
                if short.hosts > 0 and short.until_s > now_s:
                    waiting[pool] = short._replace(hosts=short.hosts - 1)
                    self._sent[pool] = self._sent.get(pool, 0) + 1
                    return pool
        return None
