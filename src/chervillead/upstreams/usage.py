"""Calls that ask an upstream about the tasks that run on it."""

import typing

import msgspec
from returns import result

from chervillead import http_exchange
from chervillead import types
from chervillead.upstreams import pool


class Usage(typing.NamedTuple):
    """Tasks on an upstream some seconds ago, of all clients."""

    running: int


class ReportedTask(typing.NamedTuple):
    """A running task as its upstream reports it."""

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
    """Returns the usage of `upstream`; None without a valid response."""
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
    """Returns the tasks of `upstream`; None without a valid response."""
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
    """Returns whether `upstream` reports that it no longer runs a task.

    Without a response, the task counts as running.
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
    """Asks `upstream` to checkpoint and then end all of its tasks.

    Returns:
        Whether the upstream has accepted the call. The tasks may still run;
        `read_usage` shows when none is left.
    """
    outcome = await _call(pools, upstream, "POST", "/checkpoint")
    return outcome.map(lambda response: response.status == 200).value_or(False)


async def _call(
    pools: pool.UpstreamPools, upstream: types.Upstream, method: str, path: str
) -> result.Result[http_exchange.HttpResponse, typing.Any]:
    return await pools.pool(upstream).control.call(
        http_exchange.HttpRequest(method, path), pool.CONTROL_TIMEOUT_S
    )
