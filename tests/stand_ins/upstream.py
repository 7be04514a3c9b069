"""Stand-in for an upstream: slots, tasks with leases, failure modes.

Run as `python -m stand_ins.upstream PORT SLOTS`. Every start and end of a task
is recorded in `records`, which the invariant checks read. See
docs/protocols.md.
"""

import asyncio
import collections
import sys
import typing

import msgspec

from stand_ins import http_server

REQUEST_ID = "chervillead-request-id"
KEEP_ANSWERS_S = 10.0
USAGE_LAG_S = 2.0


class TaskRecord(typing.NamedTuple):
    """One execution of a task; times are those of the event loop's clock."""

    request_id: str
    team: str
    queue: str
    started_s: float
    ended_s: float | None
    ending: str
    grant_id: str = ""


class UpstreamState:
    """Running tasks and the faults that a test has switched on."""

    def __init__(self, *, slots: int = 8, run_s: float = 0.02) -> None:
        self.slots = slots
        self.run_s = run_s
        self.failure = ""
        self.control_failure = ""
        self.keeps_answers = True
        self.records: list[TaskRecord] = []
        # Ids of all requests to run a task, including those that did not run.
        self.received: list[str] = []
        # Renewals, lookups and stops that arrived, by method and path.
        self.control_calls: list[tuple[float, str]] = []
        self.checkpoints: list[str] = []
        self.throttled: dict[str, float] = {}
        self.answers: dict[str, tuple[float, bytes]] = {}
        self._usage = collections.deque([(0.0, 0)])
        self._leases: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def running(self) -> list[str]:
        """Request ids of the running tasks."""
        return list(self._tasks)

    def running_tasks(self) -> list[dict[str, str]]:
        """Returns the running tasks, each with its grant, team and queue."""
        return [
            {
                "request_id": record.request_id,
                "grant_id": record.grant_id,
                "team": record.team,
                "queue": record.queue,
            }
            for record in self.records
            if record.ended_s is None
        ]

    def renew(self, request_ids: list[str], lease_s: float) -> list[str]:
        """Renews leases; returns the ids of the tasks that still run."""
        now_s = asyncio.get_running_loop().time()
        alive = [i for i in request_ids if i in self._tasks]
        for request_id in alive:
            self._leases[request_id] = now_s + lease_s
        return alive

    async def stop(self, request_id: str) -> bool:
        """Stops a task and waits for its end; returns False if unknown."""
        task = self._tasks.get(request_id)
        if task is not None:
            task.cancel()
            await asyncio.wait((task,))
        return task is not None

    async def checkpoint_all(self) -> None:
        """Checkpoints all tasks and stops them."""
        self.checkpoints += self.running
        await asyncio.gather(*(self.stop(i) for i in self.running))

    def keep_answer(self, request_id: str, answer: bytes) -> None:
        """Keeps the answer of a finished task for `KEEP_ANSWERS_S`."""
        now_s = asyncio.get_running_loop().time()
        while self.answers:
            oldest = next(iter(self.answers))
            if self.answers[oldest][0] > now_s - KEEP_ANSWERS_S:
                break
            del self.answers[oldest]
        self.answers[request_id] = (now_s, answer)

    def find(self, request_id: str) -> tuple[int, bytes]:
        """Returns status and body of GET /tasks/{id}."""
        if request_id in self._tasks:
            return 202, b""
        kept_s, answer = self.answers.get(request_id, (-1e9, b""))
        if kept_s > asyncio.get_running_loop().time() - KEEP_ANSWERS_S:
            return 200, answer
        return 404, b""

    def lagging_usage(self) -> int:
        """Returns how many tasks were running `USAGE_LAG_S` ago."""
        latest_s = asyncio.get_running_loop().time() - USAGE_LAG_S
        while len(self._usage) > 1 and self._usage[1][0] <= latest_s:
            self._usage.popleft()
        return self._usage[0][1] if self._usage[0][0] <= latest_s else 0

    def _record_usage(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._usage.append((now_s, len(self._tasks)))
        self.lagging_usage()

    async def run(self, headers: dict[str, str], body: bytes) -> bytes | None:
        """Runs a task; returns its answer, or None if it was stopped."""
        request_id = headers[REQUEST_ID]
        loop = asyncio.get_running_loop()
        lease_s = int(headers["chervillead-lease-ms"]) / 1000
        self._leases[request_id] = loop.time() + lease_s
        started_s = loop.time()
        index = len(self.records)
        self.records.append(
            TaskRecord(
                request_id,
                headers.get("chervillead-team", ""),
                headers.get("chervillead-queue", ""),
                started_s,
                None,
                "",
                headers.get("chervillead-grant-id", ""),
            )
        )
        task = loop.create_task(self._work(request_id, self._run_s(body)))
        self._tasks[request_id] = task
        self._record_usage()
        ending = "finished"
        try:
            await task
        except asyncio.CancelledError:
            ending = "stopped"
        finally:
            # A retry of the request may run at the same time.
            if self._tasks.get(request_id) is task:
                del self._tasks[request_id]
            self._record_usage()
            self.records[index] = self.records[index]._replace(
                ended_s=loop.time(), ending=ending
            )
        if ending == "stopped":
            return None
        if self.keeps_answers:
            self.keep_answer(request_id, b"done:" + body)
        return b"done:" + body

    def _run_s(self, body: bytes) -> float:
        """Run time of a task: `run=SECONDS` in its body, or the default."""
        if body.startswith(b"run="):
            return float(body[4:].split(b";")[0])
        return self.run_s

    async def _work(self, request_id: str, run_s: float) -> None:
        """Runs for `run_s`; an expired lease stops the task."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + run_s
        while (left_s := end_s - loop.time()) > 0:
            lease_left_s = self._leases[request_id] - loop.time()
            if lease_left_s <= 0:
                raise asyncio.CancelledError
            await asyncio.sleep(min(left_s, lease_left_s))


def build_handler(state: UpstreamState) -> http_server.Handler:
    """Returns the HTTP handler of the upstream."""

    async def handle(
        request: http_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> http_server.Reply | None:
        if request.path == "/tasks" and request.method == "POST":
            return await _handle_task(state, request, writer)
        if request.path == "/leases" or request.path.startswith("/tasks"):
            return await _handle_control(state, request)
        if request.path == "/checkpoint" and request.method == "POST":
            await state.checkpoint_all()
            return http_server.Reply(200)
        if request.path == "/usage":
            usage = {"running": state.lagging_usage(), "slots": state.slots}
            return http_server.Reply(200, msgspec.json.encode(usage))
        if request.path == "/records":
            return http_server.Reply(200, msgspec.json.encode(state.records))
        if request.path == "/faults":
            for name, value in msgspec.json.decode(request.body).items():
                setattr(state, name, value)
            return http_server.Reply(200)
        return http_server.Reply(404)

    return handle


async def _handle_control(
    state: UpstreamState, request: http_server.ReceivedRequest
) -> http_server.Reply:
    """Handles lease renewals and calls about one task."""
    state.control_calls.append(
        (asyncio.get_running_loop().time(), f"{request.method} {request.path}")
    )
    if state.control_failure == "silent":
        await asyncio.Event().wait()
    if request.path == "/leases":
        ids = msgspec.json.decode(request.body, type=list[str])
        return http_server.Reply(200, msgspec.json.encode(state.renew(ids, 2)))
    if request.path == "/tasks":
        return http_server.Reply(
            200, msgspec.json.encode(state.running_tasks())
        )
    request_id, _, action = request.path.removeprefix("/tasks/").partition("/")
    echo = ((REQUEST_ID, request_id),)
    if request.method == "GET":
        status, body = state.find(request_id)
        return http_server.Reply(status, body, echo)
    found = request_id in state.running
    if request.method == "DELETE":
        found = await state.stop(request_id)
    elif action == "checkpoint" and found:
        state.checkpoints.append(request_id)
    elif action == "throttle" and found:
        state.throttled[request_id] = float(request.query.get("to", "0.5"))
    return http_server.Reply(200 if found else 404, b"", echo)


async def _handle_task(
    state: UpstreamState,
    request: http_server.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> http_server.Reply | None:
    state.received.append(request.headers[REQUEST_ID])
    echo = ((REQUEST_ID, request.headers[REQUEST_ID]),)
    if len(state.running) >= state.slots:
        refused = (*echo, ("chervillead-verdict", "not-run"))
        return http_server.Reply(503, b"all slots are in use", refused)
    if state.failure == "silent":
        await asyncio.Event().wait()
    if state.failure == "unread":
        writer.close()
        return None
    if state.failure == "fail-fast":
        await asyncio.sleep(0.001)
        return http_server.Reply(500, b"failed", echo)
    answer = await state.run(request.headers, request.body)
    if answer is None:
        return http_server.Reply(500, b"stopped", echo)
    if state.failure == "close":
        writer.close()
        return None
    if state.failure == "truncate":
        response = http_server.encode_reply(
            http_server.Reply(200, answer, echo)
        )
        writer.write(response[:-2])
        writer.close()
        return None
    if state.failure == "lost-answer":
        # The task has run, but no response is sent on this connection.
        await asyncio.Event().wait()
    if state.failure == "twice":
        response = http_server.encode_reply(
            http_server.Reply(200, answer, echo)
        )
        writer.write(response + response)
        return None
    if state.failure == "late-second":
        response = http_server.encode_reply(
            http_server.Reply(200, answer, echo)
        )
        writer.write(response)
        await asyncio.sleep(0.01)
        writer.write(response)
        return None
    if state.failure == "crossed":
        echo = ((REQUEST_ID, "00000000-0000-7000-8000-000000000000"),)
        answer = b"done:another request"
    return http_server.Reply(200, answer, echo)


async def main(port: int, slots: int) -> None:
    """Serves until cancelled."""
    state = UpstreamState(slots=slots)
    server = await http_server.serve(build_handler(state), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
