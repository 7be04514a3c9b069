"""Tracks pools that requested more hosts than the spare pool had.

When a burst in one pool begins as the burst in another ends, released hosts
move directly to the pool that needs them: at once, and by one move instead of
two by way of the spare pool.
"""

import typing

# A pool that still lacks hosts repeats its request within this time.
SHORTAGE_TTL_S = 1.2


class _Shortage(typing.NamedTuple):
    hosts: int
    until_s: float


class Shortages:
    """Numbers of hosts that pools lack, and of hosts moved to them."""

    def __init__(self) -> None:
        self._shortages: dict[str, _Shortage] = {}
        # Hosts that other pools were told to release, by the receiving pool.
        self._promised_hosts: dict[str, _Shortage] = {}
        # Hosts that are moving to a pool and were not reported to it yet.
        self._unreported_hosts: dict[str, int] = {}

    def record(self, pool: str, hosts: int, now_s: float) -> None:
        """Records how many hosts a pool still lacks."""
        self._shortages[pool] = _Shortage(hosts, now_s + SHORTAGE_TTL_S)

    def take_sent(self, pool: str) -> int:
        """Returns how many hosts were sent to a pool since its last request."""
        return self._unreported_hosts.pop(pool, 0)

    def claim(self, offering_pool: str, idle: int, now_s: float) -> int:
        """Claims idle hosts that other pools need; returns how many."""
        claimed = 0
        for pool, shortage in self._shortages.items():
            if pool == offering_pool or shortage.until_s <= now_s:
                continue
            share = min(shortage.hosts, idle - claimed)
            claimed += share
            self._shortages[pool] = shortage._replace(
                hosts=shortage.hosts - share
            )
            promised = self._promised_hosts.get(pool)
            still_promised = 0
            if promised is not None and promised.until_s > now_s:
                still_promised = promised.hosts
            self._promised_hosts[pool] = _Shortage(
                still_promised + share, now_s + SHORTAGE_TTL_S
            )
        return claimed

    def take_destination(self, now_s: float) -> str | None:
        """Returns the pool that the next released host moves to.

        None if no pool lacks hosts; the host then moves to the spare pool.
        """
        for shortages in (self._promised_hosts, self._shortages):
            for pool, shortage in shortages.items():
                if shortage.hosts > 0 and shortage.until_s > now_s:
                    shortages[pool] = shortage._replace(
                        hosts=shortage.hosts - 1
                    )
                    self._unreported_hosts[pool] = (
                        self._unreported_hosts.get(pool, 0) + 1
                    )
                    return pool
        return None
