"""Stand-in for the platform: an append-only log and a lagging host list.

Run as `python -m stand_ins.platform PORT`. See docs/protocols.md. Faults are
attributes and methods of `PlatformState`; POST /faults sets or calls them by
name, for instance {"is_down": true} or {"drop_tail": [3]}.
"""

import asyncio
import sys
import typing

import msgspec
from returns import result

from chervillead.fleet import log_client
from chervillead.fleet import records
from stand_ins import http_server

MAX_APPENDS_PER_S = 400
ACTIONS = frozenset(("drop_tail", "reboot", "drain_hosts", "fail_hosts"))


class PlatformState:
    """The log, the host list, and the faults injected by a test.

    Attributes:
        entries: Retained records with their offsets.
        next_offset: Offset of the next append.
        hosts: Entries of the host list before any event of a host.
        is_down: Whether all calls fail.
        replies_to_drop: Number of appends whose replies are dropped after they
            took effect.
        response_delay_s: Delay of each response.
        max_appends_per_s: Rate limit of appends.
        retention: Maximum number of retained records.
        host_lag_s: Lag of the host list.
        appends: Number of append calls, including those over the rate limit.
        reboot_s: Time for which a host is down in a requested reboot.
        hosts_lost_on_reboot: Hosts that don't return from a reboot.
        reboots: Host, id, start and end of each requested reboot.
    """

    def __init__(self, *, retention: int = 100_000) -> None:
        self.entries: list[tuple[int, bytes]] = []
        self.next_offset = 0
        self.hosts: list[dict[str, typing.Any]] = []
        self.is_down = False
        self.replies_to_drop = 0
        self.response_delay_s = 0.0
        self.max_appends_per_s = MAX_APPENDS_PER_S
        self.retention = retention
        self.host_lag_s = 0.0
        self.appends = 0
        self.reboot_s = 20.0
        self.hosts_lost_on_reboot: set[str] = set()
        self.reboots: list[tuple[str, str, float, float]] = []
        self._appended = asyncio.Event()
        self._second = -1
        self._appends_of_second = 0
        self._host_events: list[tuple[float, str, bool, bool]] = []

    def append(self, data: bytes, now_s: float) -> int | None:
        """Appends bytes; returns the offset, or None over the rate limit.

        Appends with a negative `now_s` come from tools outside the run and are
        not limited.
        """
        self.appends += 1
        if now_s >= 0:
            if int(now_s) != self._second:
                self._second, self._appends_of_second = int(now_s), 0
            self._appends_of_second += 1
            if self._appends_of_second > self.max_appends_per_s:
                return None
        offset = self.next_offset
        self.entries.append((offset, data))
        self.next_offset += 1
        del self.entries[: max(0, len(self.entries) - self.retention)]
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return offset

    async def read(
        self, offset: int, limit: int, wait_s: float
    ) -> tuple[int, int, list[tuple[int, bytes]]]:
        """Returns the oldest and next offset, and the entries from `offset`."""
        if offset >= self.next_offset and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait()
            except TimeoutError:
                pass
        oldest = self.next_offset - len(self.entries)
        start = max(0, offset - oldest)
        return oldest, self.next_offset, self.entries[start : start + limit]

    def drop_tail(self, count: int) -> None:
        """Drops the last records, as a platform may do in a failover."""
        del self.entries[len(self.entries) - count :]
        self.next_offset -= count

    def drain_hosts(self, names: list[str], now_s: float) -> None:
        """Lists hosts as leaving from `now_s` on."""
        self._host_events += [(now_s, name, True, True) for name in names]

    def reboot(
        self, names: list[str], now_s: float, leaving_s: float, down_s: float
    ) -> None:
        """Lists hosts as leaving, then as down, then as live."""
        down_at_s = now_s + leaving_s
        self.drain_hosts(names, now_s)
        for name in names:
            self._host_events += [
                (down_at_s, name, False, False),
                (down_at_s + down_s, name, True, False),
            ]

    def reboot_once(self, name: str, reboot_id: str, now_s: float) -> str:
        """Reboots a host once per id; returns the state of that reboot."""
        known = [r for r in self.reboots if r[:2] == (name, reboot_id)]
        if not known:
            down_s = float("inf") if name in self.hosts_lost_on_reboot else 0.0
            down_s += self.reboot_s
            self._host_events += [
                (now_s, name, False, False),
                (now_s + down_s, name, True, False),
            ]
            known = [(name, reboot_id, now_s, now_s + down_s)]
            self.reboots += known
        return "done" if now_s >= known[0][3] else "rebooting"

    def is_up(self, name: str, now_s: float) -> bool:
        """Returns whether the latest event of the host has it up."""
        events = [e for e in sorted(self._host_events) if e[0] <= now_s]
        return next((e[2] for e in reversed(events) if e[1] == name), True)

    def fail_hosts(self, names: list[str], now_s: float) -> None:
        """Lists hosts as down from `now_s` on."""
        self._host_events += [(now_s, name, False, False) for name in names]

    def list_hosts(self, now_s: float) -> list[dict[str, typing.Any]]:
        """Returns the host list as of `host_lag_s` ago."""
        listed = {host["name"]: dict(host) for host in self.hosts}
        for at_s, name, live, leaving in sorted(self._host_events):
            if at_s <= now_s - self.host_lag_s:
                listed[name] = {"name": name, "live": live, "leaving": leaving}
        return list(listed.values())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def memory_client(state: PlatformState) -> log_client.PlatformClient:
    """Returns a client that calls the stand-in in the same process."""

    async def call(operation: typing.Any) -> typing.Any:
        await asyncio.sleep(state.response_delay_s)
        if state.is_down:
            return result.Failure("platform answered 503")
        return operation()

    async def append(data: bytes) -> result.Result[int, str]:
        def operation() -> result.Result[int, str]:
            offset = state.append(data, _now_s())
            if offset is None:
                return result.Failure(log_client.RATE_LIMITED)
            if state.replies_to_drop > 0:
                state.replies_to_drop -= 1
                return result.Failure("the connection was closed")
            return result.Success(offset)

        return typing.cast(result.Result[int, str], await call(operation))

    async def read(
        offset: int, wait_s: float
    ) -> result.Result[records.LogPage, str]:
        if not state.is_down:
            oldest, end, entries = await state.read(
                offset, log_client.READ_LIMIT, wait_s
            )
            kept = [records.LogEntry(*entry) for entry in entries]
            page = records.LogPage(oldest, end, kept)
        return typing.cast(
            result.Result[records.LogPage, str],
            await call(lambda: result.Success(page)),
        )

    async def list_hosts() -> result.Result[list[log_client.HostEntry], str]:
        return typing.cast(
            result.Result[list[log_client.HostEntry], str],
            await call(
                lambda: result.Success(
                    [
                        log_client.HostEntry(**host)
                        for host in state.list_hosts(_now_s())
                    ]
                )
            ),
        )

    async def reboot_host(
        name: str, reboot_id: str
    ) -> result.Result[log_client.RebootState, str]:
        return typing.cast(
            result.Result[log_client.RebootState, str],
            await call(
                lambda: result.Success(
                    log_client.RebootState(
                        state.reboot_once(name, reboot_id, _now_s())
                    )
                )
            ),
        )

    return log_client.PlatformClient(read, append, list_hosts, reboot_host)


def _apply_faults(state: PlatformState, body: bytes) -> http_server.Reply:
    for name, value in msgspec.json.decode(body).items():
        if name in ACTIONS:
            getattr(state, name)(*value)
        elif name in vars(state) and not name.startswith("_"):
            setattr(state, name, value)
        else:
            return http_server.Reply(400, f"unknown fault {name!r}".encode())
    return http_server.Reply(200)


def build_handler(state: PlatformState) -> http_server.Handler:
    """Returns a handler of the platform's HTTP requests."""

    async def handle(
        request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> http_server.Reply | None:
        if request.path == "/faults" and request.method == "POST":
            return _apply_faults(state, request.body)
        if state.response_delay_s > 0:
            await asyncio.sleep(state.response_delay_s)
        if state.is_down:
            return http_server.Reply(503)
        if request.path == "/log" and request.method == "POST":
            offset = state.append(request.body, _now_s())
            if offset is None:
                return http_server.Reply(429)
            if state.replies_to_drop > 0:
                state.replies_to_drop -= 1
                writer.close()
                return None
            body = msgspec.json.encode({"offset": offset})
            return http_server.Reply(200, body)
        if request.path == "/log":
            page = await state.read(
                int(request.query["from"]),
                int(request.query.get("limit", "1000")),
                int(request.query.get("wait_ms", "0")) / 1000,
            )
            return http_server.Reply(200, msgspec.msgpack.encode(page))
        if request.path == "/hosts":
            listed = state.list_hosts(_now_s())
            return http_server.Reply(200, msgspec.json.encode(listed))
        if request.path.startswith("/hosts/") and request.method == "POST":
            name = request.path.split("/")[2]
            reboot = state.reboot_once(name, request.query["id"], _now_s())
            return http_server.Reply(
                200, msgspec.json.encode({"state": reboot})
            )
        return http_server.Reply(404)

    return handle


async def main(port: int) -> None:
    """Serves the platform on `port` of the loopback interface."""
    state = PlatformState()
    server = await http_server.serve(build_handler(state), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
