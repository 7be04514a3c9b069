"""Observed conditions of hosts, and for how long each has held."""

from collections import abc
import typing

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import log_client


class HostConditions(typing.NamedTuple):
    """Conditions of one host; each time counts seconds without interruption.

    Attributes:
        idle_s: How long its upstream has reported no running tasks.
        dead_s: How long the host list has shown it as down while its upstream
            did not answer.
        healthy_s: How long its upstream has answered while the host list did
            not show it as down.
        in_state_s: How long its current drain or move record has been known.
        held_s: How long its reboot has been on hold.
        reboot_requested_s: How long ago this entry host first requested the
            reboot for the current record; None if it didn't.
        reboot: State of that reboot as the platform last reported it.
        returned_s: How long ago this entry host saw the drain return; inf if
            it didn't see that.
    """

    idle_s: float = 0.0
    dead_s: float = 0.0
    healthy_s: float = 0.0
    in_state_s: float = 0.0
    held_s: float = 0.0
    reboot_requested_s: float | None = None
    reboot: log_client.RebootState | None = None
    returned_s: float = float("inf")


class HostMonitor:
    """Tracks since when conditions of hosts hold, in memory only.

    The next fleet leader starts all times at 0, so it can only wait longer than
    necessary, never too short.
    """

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, str], float] = {}
        self._records: dict[str, int] = {}
        self._reboots: dict[str, log_client.RebootState | None] = {}
        self._returned_s: dict[str, float] = {}

    def record_observation(
        self,
        name: str,
        hosts: host_list.HostList,
        running: int | None,
        now_s: float,
    ) -> None:
        """Updates the conditions that the host list and the upstream show.

        Args:
            name: The host.
            hosts: The latest host list.
            running: Number of running tasks that its upstream reports; None if
                it did not answer.
            now_s: Monotonic time.
        """
        is_down = name in hosts.down
        self.set_condition(name, "idle", now_s, running == 0)
        self.set_condition(name, "dead", now_s, is_down and running is None)
        self.set_condition(
            name, "well", now_s, not is_down and running is not None
        )

    def set_condition(
        self, name: str, condition: str, now_s: float, holds: bool
    ) -> None:
        """Sets whether a condition of a host holds; keeps since when it does.

        Args:
            name: The host.
            condition: Key of the condition.
            now_s: Monotonic time.
            holds: Whether the condition holds now.
        """
        if holds:
            self._since_s.setdefault((name, condition), now_s)
        else:
            self._since_s.pop((name, condition), None)

    def track_record(self, name: str, offset: int, now_s: float) -> None:
        """Resets the times that belong to a record when the record changes.

        Args:
            name: The host.
            offset: Offset of its current drain or move record.
            now_s: Monotonic time.
        """
        if self._records.get(name) != offset:
            self._records[name] = offset
            self._reboots.pop(name, None)
            for condition in ("held", "asked", "idle"):
                self._since_s.pop((name, condition), None)
            self._since_s[name, "state"] = now_s

    def record_reboot(
        self, name: str, state: log_client.RebootState | None, now_s: float
    ) -> None:
        """Records a request for a reboot, and the state in the reply.

        Args:
            name: The host.
            state: State of the reboot; None without a reply, which keeps the
                last known state.
            now_s: Monotonic time.
        """
        self._since_s.setdefault((name, "asked"), now_s)
        self._reboots[name] = state or self._reboots.get(name)

    def record_return(self, name: str, now_s: float) -> None:
        """Records that the drain of a host has returned."""
        self._returned_s[name] = now_s

    def conditions(self, name: str, now_s: float) -> HostConditions:
        """Returns the conditions of a host at a monotonic time."""

        def duration_s(condition: str) -> float:
            return now_s - self._since_s.get((name, condition), now_s)

        is_reboot_requested = (name, "asked") in self._since_s
        return HostConditions(
            duration_s("idle"),
            duration_s("dead"),
            duration_s("well"),
            duration_s("state"),
            duration_s("held"),
            duration_s("asked") if is_reboot_requested else None,
            self._reboots.get(name),
            now_s - self._returned_s.get(name, float("-inf")),
        )

    def returned_within(self, period_s: float, now_s: float) -> set[str]:
        """Returns the hosts whose drain returned less than `period_s` ago."""
        earliest_s = now_s - period_s
        return {n for n, at_s in self._returned_s.items() if at_s > earliest_s}

    def forget_except(self, hosts: abc.Container[str]) -> None:
        """Removes all conditions and records except those of `hosts`.

        Times of returned drains stay.
        """
        for key in [k for k in self._since_s if k[0] not in hosts]:
            del self._since_s[key]
        for name in [n for n in self._records if n not in hosts]:
            del self._records[name]
            self._reboots.pop(name, None)


def last_record_offset(
    configuration: configuration_module.Configuration, kind: str, name: str
) -> int:
    """Returns the offset of a host's latest record of a kind; -1 for none."""
    return configuration.versions.get((kind, name), -1)
