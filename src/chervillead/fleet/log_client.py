"""HTTP client of the platform's log and hosts; see docs/protocols.md."""

import asyncio
from collections import abc
import enum
import typing
import urllib.parse

import msgspec
from returns import result

from chervillead import error_texts
from chervillead import http_exchange
from chervillead import types
from chervillead.fleet import records

# Maximum number of records in a page.
READ_LIMIT = 1000

# Failure of an append that exceeds the platform's rate limit. Unlike other
# failures, it guarantees that nothing was appended.
RATE_LIMITED = "the platform's rate limit is reached"


class HostEntry(typing.NamedTuple):
    """Entry of a host in the platform's host list, which lags by seconds."""

    name: str
    live: bool
    leaving: bool


class RebootState(enum.Enum):
    """State of a requested reboot, as the platform reports it."""

    REBOOTING = "rebooting"
    DONE = "done"


class PlatformClient(typing.NamedTuple):
    """Operations of the platform as functions, so that tests can replace them.

    Attributes:
        read: Returns a page of the log from an offset on; waits up to the given
            number of seconds if there are no records yet.
        append: Appends bytes and returns their offset. After a failure other
            than `RATE_LIMITED` the record may have been appended.
        list_hosts: Returns the host list, which lags by seconds.
        reboot_host: Reboots a host, once per reboot id, and returns the state
            of that reboot. After a failure the reboot may have started.
    """

    read: abc.Callable[
        [int, float], abc.Awaitable[result.Result[records.LogPage, str]]
    ]
    append: abc.Callable[[bytes], abc.Awaitable[result.Result[int, str]]]
    list_hosts: abc.Callable[
        [], abc.Awaitable[result.Result[list[HostEntry], str]]
    ]
    reboot_host: abc.Callable[
        [str, str], abc.Awaitable[result.Result[RebootState, str]]
    ]


class _AppendReply(typing.TypedDict):
    offset: int


def connect_platform(
    address: types.Address,
    *,
    timeout_s: float,
    dial: http_exchange.Dial = http_exchange.dial,
) -> PlatformClient:
    """Returns a client of the platform at `address`.

    Args:
        address: IP number and port of the platform's HTTP service.
        timeout_s: Time-out of each call in seconds, in addition to the time
            for which a read waits for records.
        dial: Function that opens connections.
    """

    async def call(
        request: http_exchange.HttpRequest, wait_s: float = 0.0
    ) -> result.Result[bytes, str]:
        try:
            async with asyncio.timeout(timeout_s + wait_s):
                response = await http_exchange.call_once(dial, address, request)
        except (
            OSError,
            TimeoutError,
            http_exchange.IncompleteResponseError,
        ) as error:
            return result.Failure(f"{type(error).__name__}: {error}")
        if response.status == 429:
            return result.Failure(RATE_LIMITED)
        if response.status != 200:
            return result.Failure(f"platform answered {response.status}")
        return result.Success(response.body)

    async def read(
        offset: int, wait_s: float
    ) -> result.Result[records.LogPage, str]:
        path = (
            f"/log?from={offset}&limit={READ_LIMIT}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        reply = await call(http_exchange.HttpRequest("GET", path), wait_s)
        return reply.bind(_decode_page)

    async def append(data: bytes) -> result.Result[int, str]:
        request = http_exchange.HttpRequest("POST", "/log", body=data)
        reply = await call(request)
        return reply.bind(_decode_append)

    async def list_hosts() -> result.Result[list[HostEntry], str]:
        reply = await call(http_exchange.HttpRequest("GET", "/hosts"))
        return reply.bind(_decode_hosts)

    async def reboot_host(
        name: str, reboot_id: str
    ) -> result.Result[RebootState, str]:
        host = urllib.parse.quote(name, safe="")
        query = urllib.parse.urlencode({"id": reboot_id})
        path = f"/hosts/{host}/reboot?{query}"
        reply = await call(http_exchange.HttpRequest("POST", path))
        return reply.bind(_decode_reboot)

    return PlatformClient(read, append, list_hosts, reboot_host)


def _malformed(
    what: str, error: msgspec.DecodeError
) -> result.Result[typing.Any, str]:
    detail = f"malformed {what}: {error}"
    return result.Failure(error_texts.shorten_text(detail))


def _decode_page(body: bytes) -> result.Result[records.LogPage, str]:
    try:
        return result.Success(
            msgspec.msgpack.decode(body, type=records.LogPage)
        )
    except msgspec.DecodeError as error:
        return _malformed("log page", error)


def _decode_append(body: bytes) -> result.Result[int, str]:
    try:
        reply = msgspec.json.decode(body, type=_AppendReply)
        return result.Success(reply["offset"])
    except msgspec.DecodeError as error:
        return _malformed("append reply", error)


class _RebootReply(typing.TypedDict):
    state: RebootState


def _decode_reboot(body: bytes) -> result.Result[RebootState, str]:
    try:
        reply = msgspec.json.decode(body, type=_RebootReply)
        return result.Success(reply["state"])
    except msgspec.DecodeError as error:
        return _malformed("reboot reply", error)


class _HostMap(typing.TypedDict):
    name: str
    live: bool
    leaving: bool


def _decode_hosts(body: bytes) -> result.Result[list[HostEntry], str]:
    try:
        hosts = msgspec.json.decode(body, type=list[_HostMap])
        return result.Success([HostEntry(**host) for host in hosts])
    except msgspec.DecodeError as error:
        return _malformed("host list", error)
