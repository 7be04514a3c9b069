"""The baseline on the deployment model.

Each zone serves its own callers with its own slots, first come first served;
two hosts of the spare pool stand idle; and maintenance takes one host after the
other in a fixed window.
"""

import collections

from benchmarks import deployment_model
from chervillead.fleet import configuration as configuration_module

IDLE_SPARES = 2


class BaselineDispatch:
    """Waiting lines by queue and zone."""

    def __init__(self, world: deployment_model.World) -> None:
        self._world = world
        self.closed = {
            f"{world.deployment.services[-1]}-{index}"
            for index in range(IDLE_SPARES)
        }
        self._lines: dict[
            tuple[str, str], collections.deque[deployment_model.Work]
        ] = collections.defaultdict(collections.deque)
        world.every(1.0, self._tick)

    def submit(self, work: deployment_model.Work) -> None:
        """Lists a request in its zone, or in another if that one is out."""
        state = self._world.configuration
        zones = [
            zone
            for zone in deployment_model.ZONES
            if configuration_module.is_zone_in_service(state, zone)
        ]
        zone = work.zone
        if zone not in zones:
            zone = zones[work.number % len(zones)]
        self._lines[work.queue, zone].append(work)
        self._fill(work.queue, zone)

    def _fill(self, queue: str, zone: str) -> None:
        line = self._lines[queue, zone]
        while line:
            expired_s = line[0].submitted_s + deployment_model.DEADLINE_S
            if self._world.now_s > expired_s:
                self._world.refuse(line.popleft())
                continue
            host = self._free_host(queue, zone)
            if host is None:
                return
            self._world.start(
                line.popleft(), host, lambda: self._fill(queue, zone)
            )

    def _free_host(self, queue: str, zone: str) -> str | None:
        state = self._world.configuration
        for index in range(deployment_model.HOSTS):
            name = f"{queue}-{index}"
            if (
                state.hosts[name].zone == zone
                and name not in self.closed
                and len(self._world.running[name]) < deployment_model.SLOTS
                and configuration_module.is_host_schedulable(state, name)
            ):
                return name
        return None

    def _tick(self) -> None:
        state = self._world.configuration
        for queue, zone in list(self._lines):
            if not configuration_module.is_zone_in_service(state, zone):
                line = self._lines.pop((queue, zone))
                for work in line:
                    self.submit(work)
            else:
                self._fill(queue, zone)


class BaselineMaintenance:
    """One host after the other, in order of their names."""

    def __init__(
        self,
        world: deployment_model.World,
        dispatch: BaselineDispatch,
        pool: str,
        start_s: float,
    ) -> None:
        self._world = world
        self._dispatch = dispatch
        self._hosts = [
            f"{pool}-{index}" for index in range(deployment_model.HOSTS)
        ]
        self._current: str | None = None
        self.rolled_out_s = float("inf")
        world.at(start_s, lambda: world.every(1.0, self._tick))

    def _tick(self) -> None:
        world = self._world
        if self._current is None:
            if not self._hosts:
                self.rolled_out_s = min(self.rolled_out_s, world.now_s)
                return
            self._current = self._hosts.pop(0)
            self._dispatch.closed.add(self._current)
            world.task_moves += len(world.running[self._current])
        elif not world.running[self._current] and world.reboot(self._current):
            self._dispatch.closed.discard(self._current)
            self._current = None
