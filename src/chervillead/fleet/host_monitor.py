"""What was observed of hosts, and since when."""

from collections import abc
import typing

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import host_list
from chervillead.fleet import log_client


class HostConditions(typing.NamedTuple):
    """What is known of one host; times are seconds without a break.

    Attributes:
        idle_s: How long its upstream has reported that nothing runs.
        dead_s: How long the host list has shown it down while its upstream did
            not answer.
        well_s: How long its upstream has answered while the list did not show
            it down.
        in_state_s: How long its current drain or move record is known.
        held_s: How long its reboot has been held back.
        reboot_asked_s: How long ago this entry host first asked for the reboot
            of the current record; None if it didn't.
        reboot: What the platform last said of that reboot.
        returned_s: How long ago this entry host saw the drain return; inf if
            it was over before.
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
    """Times of observations of each host; lost with the entry host.

    A successor starts all times anew, so it waits longer, never shorter.
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
        """Notes what the host list and the upstream say now.

        Args:
            name: The host.
            hosts: The newest host list.
            running: Tasks by its upstream's own report; None without an answer.
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
        """Notes whether a condition of a host holds now."""
        if holds:
            self._since_s.setdefault((name, condition), now_s)
        else:
            self._since_s.pop((name, condition), None)

    def track_record(self, name: str, offset: int, now_s: float) -> None:
        """Starts the times that belong to a record anew when it changes."""
        if self._records.get(name) != offset:
            self._records[name] = offset
            self._reboots.pop(name, None)
            for condition in ("held", "asked", "idle"):
                self._since_s.pop((name, condition), None)
            self._since_s[name, "state"] = now_s

    def record_reboot(
        self, name: str, state: log_client.RebootState | None, now_s: float
    ) -> None:
        """Notes that a reboot was asked for, and the platform's answer."""
        self._since_s.setdefault((name, "asked"), now_s)
        self._reboots[name] = state or self._reboots.get(name)

    def record_return(self, name: str, now_s: float) -> None:
        """Notes that the drain of a host has returned."""
        self._returned_s[name] = now_s

    def conditions(self, name: str, now_s: float) -> HostConditions:
        """Returns what is known of a host."""

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
        """Returns hosts whose drain returned less than a period ago."""
        earliest_s = now_s - period_s
        return {n for n, at_s in self._returned_s.items() if at_s > earliest_s}

    def forget_except(self, hosts: abc.Container[str]) -> None:
        """Drops what isn't needed any more, for all but `hosts`."""
        for key in [k for k in self._since_s if k[0] not in hosts]:
            del self._since_s[key]
        for name in [n for n in self._records if n not in hosts]:
            del self._records[name]
            self._reboots.pop(name, None)


def last_record_offset(
    configuration: configuration_module.Configuration, kind: str, name: str
) -> int:
    """Returns the offset of a host's last record of a kind; -1 for none."""
    return configuration.versions.get((kind, name), -1)
