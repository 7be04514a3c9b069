"""Stand-in for the platform: an append-only log and a lagging host list.

Run as `python -m stand_ins.platform PORT`. See docs/protocols.md.
"""

import asyncio
import sys
import typing

import msgspec

from stand_ins import http_server

MAX_APPENDS_PER_S = 400


class PlatformState:
    """The log, and the faults that a test switches on."""

    def __init__(self, *, retention: int = 100_000) -> None:
        self.entries: list[tuple[int, bytes]] = []
        self.end = 0
        self.hosts: list[dict[str, typing.Any]] = []
        self.is_down = False
        self.lose_answers = 0
        self._retention = retention
        self._appended = asyncio.Event()
        self._second = -1
        self._appends = 0

    def append(self, data: bytes, now_s: float) -> int | None:
        """Appends bytes; returns the offset, or None over the rate limit."""
        if int(now_s) != self._second:
            self._second, self._appends = int(now_s), 0
        self._appends += 1
        if self._appends > MAX_APPENDS_PER_S:
            return None
        offset = self.end
        self.entries.append((offset, data))
        self.end += 1
        del self.entries[: max(0, len(self.entries) - self._retention)]
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return offset

    async def read(
        self, offset: int, limit: int, wait_s: float
    ) -> tuple[int, int, list[tuple[int, bytes]]]:
        """Returns oldest offset, end, and entries from `offset` on."""
        if offset >= self.end and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait()
            except TimeoutError:
                pass
        oldest = self.end - len(self.entries)
        start = max(0, offset - oldest)
        return oldest, self.end, self.entries[start : start + limit]


def build_handler(state: PlatformState) -> http_server.Handler:
    """Returns the HTTP handler of the platform."""

    async def handle(
        request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> http_server.Reply | None:
        if request.path == "/faults" and request.method == "POST":
            for name, value in msgspec.json.decode(request.body).items():
                setattr(state, name, value)
            return http_server.Reply(200)
        if state.is_down:
            return http_server.Reply(503)
        if request.path == "/log" and request.method == "POST":
            now_s = asyncio.get_running_loop().time()
            offset = state.append(request.body, now_s)
            if offset is None:
                return http_server.Reply(429)
            if state.lose_answers > 0:
                state.lose_answers -= 1
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
            return http_server.Reply(200, msgspec.json.encode(state.hosts))
        return http_server.Reply(404)

    return handle


async def main(port: int) -> None:
    """Serves until cancelled."""
    state = PlatformState()
    server = await http_server.serve(build_handler(state), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
