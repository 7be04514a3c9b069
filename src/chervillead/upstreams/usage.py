"""What an upstream itself says of the tasks that run on it."""

import typing

import msgspec
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool


class Usage(typing.NamedTuple):
    """Tasks on an upstream some seconds ago, whoever sent them."""

    running: int


class ReportedTask(typing.NamedTuple):
    """A task that runs on an upstream, as the upstream knows it."""

    request_id: str
    grant_id: str
    team: str
    queue: str


class _TaskMap(typing.TypedDict):
    request_id: str
    grant_id: str
    team: str
    queue: str


class _UsageReply(typing.TypedDict):
    running: int


async def read_usage(
    pools: pool.UpstreamPools, upstream: types.Upstream
) -> Usage | None:
    """Returns the usage that `upstream` reports; None without an answer."""
    outcome = await _call(pools, upstream, "GET", "/usage")
    response = outcome.value_or(None)
    if response is None or response.status != 200:
        return None
    try:
        reply = msgspec.json.decode(response.body, type=_UsageReply)
    except msgspec.DecodeError:
        return None
    return Usage(reply["running"])


async def read_tasks(
    pools: pool.UpstreamPools, upstream: types.Upstream
) -> list[ReportedTask] | None:
    """Returns the tasks that run on `upstream`; None without an answer."""
    outcome = await _call(pools, upstream, "GET", "/tasks")
    response = outcome.value_or(None)
    if response is None or response.status != 200:
        return None
    try:
        tasks = msgspec.json.decode(response.body, type=list[_TaskMap])
    except msgspec.DecodeError:
        return None
    return [ReportedTask(**task) for task in tasks]


async def is_task_finished(
    pools: pool.UpstreamPools, upstream: types.Upstream, request_id: str
) -> bool:
    """Returns whether `upstream` says that it doesn't run a task any more.

    No answer counts as running.
    """
    outcome = await pools.pool(upstream).control.call(
        http_exchange.HttpRequest("GET", f"/tasks/{request_id}"),
        pool.CONTROL_TIMEOUT_S,
        request_id=request_id,
    )
    response = outcome.value_or(None)
    return response is not None and response.status in (200, 404, 410)


async def checkpoint_all(
    pools: pool.UpstreamPools, upstream: types.Upstream
) -> bool:
    """Asks `upstream` to checkpoint and end all of its tasks.

    Returns:
        Whether the upstream has taken the call. Only its usage tells when
        nothing runs any more.
    """
    outcome = await _call(pools, upstream, "POST", "/checkpoint")
    return outcome.map(lambda response: response.status == 200).value_or(False)


async def _call(
    pools: pool.UpstreamPools, upstream: types.Upstream, method: str, path: str
) -> result.Result[http_exchange.HttpResponse, typing.Any]:
    return await pools.pool(upstream).control.call(
        http_exchange.HttpRequest(method, path), pool.CONTROL_TIMEOUT_S
    )
