"""Connections to all upstreams, and the sending of granted requests."""

import asyncio
import collections

from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.upstreams import connections

REQUEST_ID_HEADER = "chervillead-request-id"
VERDICT_HEADER = "chervillead-verdict"


class UpstreamPool:
    """Idle connections and waiting calls of one upstream."""

    def __init__(
        self,
        address: types.Address,
        clock: types.Clock,
        dial: http_exchange.Dial,
    ) -> None:
        self._address = address
        self._clock = clock
        self._dial = dial
        self._calls: collections.deque[connections.Call] = collections.deque()
        self._idle: collections.deque[asyncio.Event] = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return len(self._tasks)

    async def call(
        self, request: http_exchange.HttpRequest, deadline_s: float
    ) -> connections.CallOutcome:
        """Sends `request` on an idle connection, or on a new one."""
        call = connections.Call(
            request, deadline_s, asyncio.get_running_loop().create_future()
        )
        self._calls.append(call)
        if self._idle:
            # The most recently used connection is the likeliest to be alive.
            self._idle.pop().set()
        else:
            self._start_connection()
        return await call.outcome

    def close(self) -> None:
        """Closes all connections; calls under way may have run."""
        for task in self._tasks:
            task.cancel()

    def _start_connection(self) -> None:
        task = asyncio.get_running_loop().create_task(
            connections.run_connection(
                self._address,
                connections.CallQueue(self._take),
                self._clock,
                dial=self._dial,
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take(self) -> connections.Call | None:
        if self._calls:
            return self._calls.popleft()
        wake = asyncio.Event()
        self._idle.append(wake)
        try:
            async with asyncio.timeout(connections.IDLE_TIMEOUT_S):
                await wake.wait()
        except TimeoutError:
            if not wake.is_set():
                self._idle.remove(wake)
                return None
        return self._calls.popleft() if self._calls else None


class UpstreamPools:
    """The pool of each upstream, made when it is first used."""

    def __init__(
        self, clock: types.Clock, dial: http_exchange.Dial = http_exchange.dial
    ) -> None:
        self._clock = clock
        self._dial = dial
        self._pools: dict[types.Address, UpstreamPool] = {}

    def pool(self, address: types.Address) -> UpstreamPool:
        """Returns the pool of the upstream at `address`."""
        pool = self._pools.get(address)
        if pool is None:
            pool = UpstreamPool(address, self._clock, self._dial)
            self._pools[address] = pool
        return pool

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            pool.close()


async def send(
    pools: UpstreamPools,
    request: types.Request,
    grant: types.Grant,
    clock: types.Clock,
) -> result.Result[types.Answer, verdicts.Refusal]:
    """Sends a granted request once and returns its whole answer.

    Returns:
        The answer, or a refusal whose verdict says whether the request may
        have run.
    """
    now_s = clock.monotonic()
    if now_s >= min(grant.start_by_s, request.deadline_s):
        return result.Failure(
            verdicts.not_run(
                "grant-expired",
                503,
                f"grant {grant.grant_id} was not used in time",
                retry_after_s=0.1,
            )
        )
    outcome = await pools.pool(grant.upstream.address).call(
        _encode_call(request, grant, now_s), request.deadline_s
    )
    return outcome.bind(lambda response: _decode_answer(request, response))


def _encode_call(
    request: types.Request, grant: types.Grant, now_s: float
) -> http_exchange.HttpRequest:
    return http_exchange.HttpRequest(
        "POST",
        "/tasks",
        (
            (REQUEST_ID_HEADER, request.request_id),
            ("chervillead-grant-id", grant.grant_id),
            ("chervillead-queue", request.queue),
            ("chervillead-team", request.team),
            ("chervillead-lease-ms", str(int(grant.lease_s * 1000))),
            (
                "chervillead-time-left-ms",
                str(int((request.deadline_s - now_s) * 1000)),
            ),
            ("content-type", request.content_type),
        ),
        request.body,
    )


def _decode_answer(
    request: types.Request, response: http_exchange.HttpResponse
) -> result.Result[types.Answer, verdicts.Refusal]:
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed != request.request_id:
        return result.Failure(
            verdicts.may_have_run(
                "answer-mismatch",
                502,
                f"the upstream answered request {echoed!r}",
            )
        )
    if response.headers.get(VERDICT_HEADER) == verdicts.Verdict.NOT_RUN.value:
        return result.Failure(
            verdicts.not_run(
                "upstream-refused",
                503,
                response.body.decode("utf-8", "replace"),
                retry_after_s=0.5,
            )
        )
    content_type = response.headers.get(
        "content-type", "application/octet-stream"
    )
    return result.Success(
        types.Answer(response.status, content_type, response.body)
    )
