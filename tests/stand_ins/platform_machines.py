"""Simulates the platform's hosts service, which manages hosts.

It enforces fencing tokens per host and records commands and downtimes for the
checks.
"""

import asyncio
from collections import abc
import typing

import msgspec

from stand_ins import http_server
from stand_ins import platform_worker

MAINTENANCE_S = 2.0
MOVE_S = 1.5


class MaintenanceRecord(typing.NamedTuple):
    """The maintenance of a host in a wave: when it was down."""

    host: str
    wave: int
    began_s: float
    ended_s: float


class CommandRecord(typing.NamedTuple):
    """A command that was carried out, with its holder and token."""

    host: str
    holder: str
    token: int
    pool: str
    at_s: float


class MachinesStandIn:
    """Simulated hosts with one worker each.

    Attributes:
        maintenance_records: Maintenance of hosts, in the order of its start.
        commands: Commands that were carried out; the pool is empty for those
            that start maintenance.
        pools: Current pool of each host.
        delayed_moves_s: Delay after which moves are carried out without a
            response; None if they are carried out at once.
        drops_commands: Whether commands are lost; hosts are listed.
    """

    def __init__(
        self,
        workers: abc.Mapping[str, platform_worker.WorkerStandIn],
        pool: str,
        *,
        spare_pool: str = "",
        turned_off: int = 0,
    ) -> None:
        self.maintenance_records: list[MaintenanceRecord] = []
        self.commands: list[CommandRecord] = []
        self._workers = {
            name.replace("i-", "m-"): worker for name, worker in workers.items()
        }
        self.pools = dict.fromkeys(self._workers, pool)
        self._spare_pool = spare_pool
        for name in list(self._workers)[len(self._workers) - turned_off :]:
            self.pools[name] = spare_pool
            self._workers[name].silent = True
        self._moving: set[str] = set()
        self.delayed_moves_s: float | None = None
        self.drops_commands = False
        self._tokens: dict[str, int] = {}
        self._completed: set[tuple[str, int]] = set()

    @property
    def names(self) -> list[str]:
        """Names of the hosts, in the order of their workers."""
        return list(self._workers)

    def max_hosts_down(self) -> int:
        """Returns the maximum number of hosts in maintenance at a time."""
        return max(
            (
                sum(
                    other.began_s <= record.began_s < other.ended_s
                    for other in self.maintenance_records
                )
                for record in self.maintenance_records
            ),
            default=0,
        )

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Handles one call; returns None to leave it without a response."""
        await asyncio.sleep(0.002)
        if request.path == "/machines":
            rows = [self._row(name) for name in self._workers]
            return _json({"Machines": rows, "NextPageToken": None})
        if self.drops_commands:
            return None
        fields = msgspec.json.decode(request.body)
        name = fields["Machine"]
        token = int(request.headers["fencing-token"])
        if token < self._tokens.get(name, 0):
            return _json({"Reason": "fence"}, 409)
        self._tokens[name] = token
        if request.path == "/machine-move" and self.delayed_moves_s is not None:
            asyncio.get_running_loop().call_later(
                self.delayed_moves_s, self._move, name, fields["Pool"]
            )
            return None
        if request.path == "/machine-move":
            reply = self._move(name, fields["Pool"])
        else:
            reply = self._begin_maintenance(name, fields["Wave"])
        if reply.status == 200:
            holder = request.headers["lease-holder"]
            now_s = asyncio.get_running_loop().time()
            pool = fields.get("Pool", "")
            self.commands.append(
                CommandRecord(name, holder, token, pool, now_s)
            )
        return reply

    def _move(self, name: str, pool: str) -> http_server.Reply:
        if self.pools[name] == pool:
            return _json({})
        is_off = self.pools[name] == self._spare_pool
        if name in self._moving or (self._workers[name].silent and not is_off):
            return _json({"Reason": "busy"}, 409)
        self.pools[name] = pool
        worker = self._workers[name]
        worker.restart()
        worker.silent = True
        self._moving.add(name)

        def arrive() -> None:
            self._moving.discard(name)
            if pool != self._spare_pool:
                worker.restart()
                worker.worker_id += "-moved"
                worker.silent = False

        asyncio.get_running_loop().call_later(MOVE_S, arrive)
        return _json({})

    def _begin_maintenance(self, name: str, wave: int) -> http_server.Reply:
        if (name, wave) in self._completed:
            return _json({})
        is_off = self.pools[name] == self._spare_pool
        if name in self._moving or (self._workers[name].silent and not is_off):
            return _json({"Reason": "busy"}, 409)
        self._completed.add((name, wave))
        self._go_down(name, wave)
        return _json({})

    def _go_down(self, name: str, wave: int) -> None:
        worker = self._workers[name]
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.maintenance_records.append(
            MaintenanceRecord(name, wave, began_s, began_s + MAINTENANCE_S)
        )
        worker.restart()
        worker.silent = True

        def return_to_service() -> None:
            if self.pools[name] == self._spare_pool:
                return
            worker.restart()
            worker.worker_id += "-new"
            worker.silent = False

        loop.call_later(MAINTENANCE_S, return_to_service)

    def _row(self, name: str) -> dict[str, typing.Any]:
        worker = self._workers[name]
        is_off = self.pools[name] == self._spare_pool
        is_moving = name in self._moving
        state = "upkeep" if worker.silent and not is_off else "up"
        return {
            "Machine": name,
            "Pool": self.pools[name],
            "State": "moving" if is_moving else state,
            "Zone": "zone-a",
            "Labels": ["a", "r1-0"],
            "Capacity": {"Cpu": worker.cpu, "MemMb": worker.memory_mb},
            "Id": "" if is_off else worker.worker_id,
        }


def _json(fields: object, status: int = 200) -> http_server.Reply:
    return http_server.Reply(status, msgspec.json.encode(fields))
