"""A stand-in of the platform's service that switches hosts.

It checks fencing tokens for each host and keeps when each was down, from which
the checks judge.
"""

import asyncio
from collections import abc
import typing

import msgspec

from stand_ins import http_server
from stand_ins import platform_worker

UPKEEP_S = 2.0
MOVE_S = 1.5


class MaintenanceRecord(typing.NamedTuple):
    """One upkeep of a host."""

    host: str
    wave: int
    began_s: float
    ended_s: float


class CommandRecord(typing.NamedTuple):
    """One order that was carried out."""

    host: str
    holder: str
    token: int
    pool: str
    at_s: float


class MachinesStandIn:
    """Hosts, each with one worker.

    Attributes:
        upkeeps: All upkeeps, in the order of their beginning.
        orders: All orders that were carried out; those for upkeep name no pool.
        pools: The pool of each host.
        late_moves_s: Delay after which moves are carried out without an
            answer; None if they are answered.
    """

    def __init__(
        self,
        workers: abc.Mapping[str, platform_worker.WorkerStandIn],
        pool: str,
        *,
        spare_pool: str = "",
        switched_off: int = 0,
    ) -> None:
        self.maintenance_records: list[MaintenanceRecord] = []
        self.commands: list[CommandRecord] = []
        self._workers = {
            name.replace("i-", "m-"): worker for name, worker in workers.items()
        }
        self.pools = dict.fromkeys(self._workers, pool)
        self._spare_pool = spare_pool
        for name in list(self._workers)[len(self._workers) - switched_off :]:
            self.pools[name] = spare_pool
            self._workers[name].silent = True
        self._moving: set[str] = set()
        self.late_moves_s: float | None = None
        self._tokens: dict[str, int] = {}
        self._done: set[tuple[str, int]] = set()

    @property
    def names(self) -> list[str]:
        """Names of the hosts."""
        return list(self._workers)

    def max_hosts_down(self) -> int:
        """Returns the most hosts that were down at one moment."""
        return max(
            (
                sum(
                    other.began_s <= upkeep.began_s < other.ended_s
                    for other in self.maintenance_records
                )
                for upkeep in self.maintenance_records
            ),
            default=0,
        )

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply | None:
        """Answers one call."""
        await asyncio.sleep(0.002)
        if request.path == "/machines":
            rows = [self._row(name) for name in self._workers]
            return _json({"Machines": rows, "NextPageToken": None})
        fields = msgspec.json.decode(request.body)
        name = fields["Machine"]
        token = int(request.headers["fencing-token"])
        if token < self._tokens.get(name, 0):
            return _json({"Reason": "fence"}, 409)
        self._tokens[name] = token
        if request.path == "/machine-move" and self.late_moves_s is not None:
            asyncio.get_running_loop().call_later(
                self.late_moves_s, self._move, name, fields["Pool"]
            )
            return None
        if request.path == "/machine-move":
            reply = self._move(name, fields["Pool"])
        else:
            reply = self._upkeep(name, fields["Wave"])
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

    def _upkeep(self, name: str, wave: int) -> http_server.Reply:
        if (name, wave) in self._done:
            return _json({})
        if self._workers[name].silent:
            return _json({"Reason": "busy"}, 409)
        self._done.add((name, wave))
        self._take_down(name, wave)
        return _json({})

    def _take_down(self, name: str, wave: int) -> None:
        worker = self._workers[name]
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.maintenance_records.append(
            MaintenanceRecord(name, wave, began_s, began_s + UPKEEP_S)
        )
        worker.restart()
        worker.silent = True

        def come_back() -> None:
            worker.restart()
            worker.worker_id += "-new"
            worker.silent = False

        loop.call_later(UPKEEP_S, come_back)

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
