"""Divides hosts by the loads that pools report; directs released hosts.

Intended for the owner of the hosts partition. It keeps one record a pool; a
pool that reports no longer keeps what it has and gets nothing.
"""

import itertools
import typing

from chervillead.entries import host_messages
from chervillead.jobs import fleet_allocation

# An owner reports its pools several times within this time.
REPORT_TTL_S = 2.0
# A host that was moved to a pool registers within this time, or not at all.
REGISTRATION_TIMEOUT_S = 4.0


class _SentHost(typing.NamedTuple):
    """A host that was sent to a pool, numbered over all pools."""

    number: int
    at_s: float


class _PoolRecord(typing.NamedTuple):
    """What is known of one pool.

    Attributes:
        report: Its last report; None before the first one.
        reported_s: Time of the report.
        sent: Hosts that were sent to the pool and may not have registered yet.
    """

    report: host_messages.ReportLoad | None = None
    reported_s: float = float("-inf")
    sent: tuple[_SentHost, ...] = ()


class FleetAllocator:
    """Loads of all pools, and the hosts that are on their way to them.

    Attributes:
        spare_hosts: Number of usable hosts in the spare pool when it was last
            counted.
    """

    def __init__(self, term: int) -> None:
        self._term = term
        self._records: dict[str, _PoolRecord] = {}
        self._numbers = itertools.count(1)
        self._last_number = 0
        self.spare_hosts = 0

    def record(self, report: host_messages.ReportLoad, now_s: float) -> None:
        """Records the load of a pool; ignores one of a previous owner."""
        if not self.is_current(report.pool, report.token):
            return
        record = self._records.get(report.pool, _PoolRecord())
        self._records[report.pool] = record._replace(
            report=report, reported_s=now_s
        )

    def is_current(self, pool: str, token: int) -> bool:
        """Returns whether no later owner of a pool has reported a load."""
        record = self._records.get(pool)
        report = record.report if record is not None else None
        return report is None or token >= report.token

    def record_sent(self, pool: str, now_s: float) -> int:
        """Counts a host as on its way to a pool; returns its number."""
        self._last_number = next(self._numbers)
        record = self._records.get(pool, _PoolRecord())
        recent = (
            host
            for host in record.sent
            if now_s - host.at_s < REGISTRATION_TIMEOUT_S
        )
        self._records[pool] = record._replace(
            sent=(*recent, _SentHost(self._last_number, now_s))
        )
        return self._last_number

    def record_left(self, pool: str) -> None:
        """Counts a host as gone from a pool that was releasing it."""
        record = self._records.get(pool)
        if record is not None and record.report is not None:
            releasing = max(0, record.report.releasing - 1)
            self._records[pool] = record._replace(
                report=record.report._replace(releasing=releasing)
            )

    def forget_sent(self, pool: str, number: int) -> None:
        """Counts a host as not sent, as its move was rejected."""
        record = self._records[pool]
        self._records[pool] = record._replace(
            sent=tuple(host for host in record.sent if host.number != number)
        )

    def allocation(self, now_s: float) -> fleet_allocation.Allocation:
        """Returns the hosts that each pool should have by its report."""
        return fleet_allocation.allocate(self._demands(now_s), self.spare_hosts)

    def has_unmet_demand(self, now_s: float) -> bool:
        """Returns whether a pool needs more hosts than it has."""
        return any(
            demand.needed > demand.hosts
            for demand in self._demands(now_s).values()
        )

    def destination(self, releasing_pool: str, now_s: float) -> str | None:
        """Returns the pool that a released host should move to.

        Returns:
            The pool that lacks the most hosts, or None if the spare pool has
            enough for all.
        """
        deficits = self.allocation(now_s).deficits
        deficits.pop(releasing_pool, None)
        if sum(deficits.values()) <= self.spare_hosts:
            return None
        return max(deficits, key=lambda pool: (deficits[pool], pool))

    def reply(self, pool: str, now_s: float) -> host_messages.HostReply:
        """Returns the reply to a report of a pool."""
        allocation = self.allocation(now_s)
        surplus = allocation.surpluses.get(pool, 0)
        lacking = sum(allocation.deficits.values()) - self.spare_hosts
        return host_messages.HostReply(
            term=self._term,
            last_sent=self._last_number,
            arriving=self._arriving(self._records[pool], now_s),
            surplus=surplus,
            wanted=max(0, min(surplus, lacking)),
        )

    def describe(self, now_s: float) -> dict[str, list[int]]:
        """Returns the demand and the size of each pool, for logs."""
        sizes = self.allocation(now_s).sizes
        return {
            name: [*demand, sizes[name]]
            for name, demand in self._demands(now_s).items()
        }

    def _demands(self, now_s: float) -> dict[str, fleet_allocation.PoolDemand]:
        """Returns the demand of each pool with a current report."""
        return {
            name: fleet_allocation.PoolDemand(
                record.report.hosts
                + record.report.releasing
                + self._arriving(record, now_s),
                record.report.min_hosts,
                record.report.urgent,
                record.report.needed,
                record.report.retained,
            )
            for name, record in self._records.items()
            if record.report is not None
            and now_s - record.reported_s < REPORT_TTL_S
        }

    def _arriving(self, record: _PoolRecord, now_s: float) -> int:
        """Returns the hosts on their way that a pool's report doesn't count.

        A new owner of the pool knows of none of them.
        """
        accounted = 0
        if record.report is not None and record.report.term == self._term:
            accounted = record.report.accounted
        return sum(
            host.number > accounted
            and now_s - host.at_s < REGISTRATION_TIMEOUT_S
            for host in record.sent
        )
