"""Client of the platform's store, as `store.interface.Store`."""

import asyncio
from collections import abc
import typing
import urllib.parse

import msgspec
from returns import pipeline
from returns import result

from chervillead import error_texts
from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.platform import store_records
from chervillead.platform import store_responses
from chervillead.platform import wire
from chervillead.store import interface

# The store responds within milliseconds, and a connection that lost a response
# delivers nothing further, so a longer timeout doesn't help.
TIMEOUT_S = 0.7
# Lowest rate that a link is expected to leave for a transfer.
MIN_LINK_BYTES_PER_S = 50_000
# A page of records holds up to 1 MB, a third more in its encoding.
TRANSFER_TIMEOUT_S = 1_400_000 / MIN_LINK_BYTES_PER_S
# Attempts at one page before the pages read so far are given up.
PAGE_ATTEMPTS = 4
PAGE_RETRY_DELAY_S = 0.1
MAX_PAGES = 10_000
# Limit of the platform as it stands; the settings of a host name it.
DEFAULT_MAX_RECORD_BYTES = 262_144
# The length of a key is stored in one byte.
MAX_KEY_BYTES = 255


_Value = typing.TypeVar("_Value")


class _Reply(typing.NamedTuple):
    status: int
    body: bytes


_Call: typing.TypeAlias = abc.Callable[
    ...,
    abc.Awaitable[result.Result[_Reply, interface.StoreFailure]],
]


def connect_store(
    address: types.Address,
    increment: abc.Callable[..., None],
    *,
    dial: http_exchange.Dial = http_exchange.dial,
    max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
) -> interface.Store:
    """Returns a client of the store at `address`.

    Args:
        address: Address of the store.
        increment: Increments a counter, by name and label values.
        dial: Opens connections.
        max_record_bytes: Longest record that the store accepts, in bytes.
    """
    connections = http_connection.HttpConnectionPool(address, dial=dial)

    async def call(
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes,
        timeout_s: float,
        transfer_timeout_s: float | None = None,
    ) -> result.Result[_Reply, interface.StoreFailure]:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        headers = (
            (("content-type", "application/json"),)
            if method == "POST" and not query
            else ()
        )
        outcome = await connections.call(
            http_exchange.HttpRequest(method, target, headers, body),
            timeout_s,
            transfer_timeout_s,
        )
        if not pipeline.is_successful(outcome):
            failure = outcome.failure()
            increment("chervillead_store_calls", path, "unanswered")
            return result.Failure(
                interface.StoreFailure(failure.verdict, failure.detail)
            )
        response = outcome.unwrap()
        increment("chervillead_store_calls", path, str(response.status))
        if response.status == 200:
            return result.Success(_Reply(200, response.body))
        return result.Failure(store_responses.decode_failure(path, response))

    return interface.Store(
        append=_append(call, max_record_bytes),
        read=_read(call),
        read_latest=_newest(call),
        join=_join(call),
        leave=_leave(call),
        owners=_owners(call),
    )


def _malformed(path: str, detail: str) -> interface.StoreFailure:
    return interface.StoreFailure(
        verdicts.Verdict.MAY_HAVE_RUN, f"{path}: malformed response: {detail}"
    )


def _accept(
    path: str, decoded: result.Result[_Value, wire.Malformed]
) -> result.Result[_Value, interface.StoreFailure]:
    """Returns a decoded response, or the failure that it amounts to."""
    return decoded.alt(lambda malformed: _malformed(path, malformed.detail))


def _find_too_large(
    records: abc.Iterable[interface.KeyedRecord], max_record_bytes: int
) -> interface.StoreFailure | None:
    """Returns the failure of an append that the store would reject, if any."""
    for record in records:
        size_bytes = record.size_bytes
        key_bytes = len(record.key.encode())
        if size_bytes > max_record_bytes or key_bytes > MAX_KEY_BYTES:
            return interface.StoreFailure(
                verdicts.Verdict.NOT_RUN,
                f"record {error_texts.shorten(record.key)} has {size_bytes} "
                f"bytes, {key_bytes} of them in its key; at most "
                f"{max_record_bytes} and {MAX_KEY_BYTES} are allowed",
                interface.RejectionReason.INVALID,
            )
    return None


def _append(call: _Call, max_record_bytes: int) -> typing.Any:
    async def append(
        topic: str,
        partition: int,
        records: abc.Sequence[interface.KeyedRecord],
        producer: interface.Producer | None,
    ) -> result.Result[int, interface.StoreFailure]:
        too_large = _find_too_large(records, max_record_bytes)
        if too_large is not None:
            return result.Failure(too_large)
        query: dict[str, object] = {"Topic": topic, "part": partition}
        if producer is not None:
            query["Producer"] = producer.name
            query["epoch"] = producer.epoch
            query["Seq"] = producer.sequence
        body = store_records.encode_records(records)
        reply = await call(
            "POST",
            "/log-append",
            query,
            body,
            TIMEOUT_S + len(body) / MIN_LINK_BYTES_PER_S,
        )
        return reply.bind(
            lambda response: _accept(
                "/log-append", store_responses.decode_append(response.body)
            )
        )

    return append


def _read(call: _Call) -> typing.Any:
    async def read(
        topic: str, partition: int, offset: int, wait_ms: int
    ) -> result.Result[interface.ReadPage, interface.StoreFailure]:
        query: dict[str, object] = {
            "Topic": topic,
            "part": partition,
            "From": offset,
        }
        if wait_ms:
            query["WaitMs"] = wait_ms
        reply = await call(
            "GET",
            "/log-read",
            query,
            b"",
            TIMEOUT_S + wait_ms / 1000,
            TRANSFER_TIMEOUT_S,
        )
        if not pipeline.is_successful(reply):
            return result.Failure(reply.failure())
        return _accept(
            "/log-read",
            store_responses.decode_read(reply.unwrap().body, offset),
        )

    return read


def _newest(call: _Call) -> typing.Any:
    async def newest(
        topic: str, partition: int
    ) -> result.Result[interface.LatestRecords, interface.StoreFailure]:
        records: list[interface.KeyedRecord] = []
        end: int | None = None
        query: dict[str, object] = {"Topic": topic, "part": partition}
        for _ in range(MAX_PAGES):
            reply = await _read_page(call, query, "After" in query)
            if not pipeline.is_successful(reply):
                failure = reply.failure()
                if failure.detail.startswith("/log-newest: 404"):
                    return result.Success(interface.LatestRecords((), 0))
                return result.Failure(failure)
            page = _accept(
                "/log-newest",
                store_responses.decode_latest(reply.unwrap().body),
            )
            if not pipeline.is_successful(page):
                return result.Failure(page.failure())
            found, has_more, page_end = page.unwrap()
            # Pages are not a consistent snapshot, so the caller reads on from
            # the end offset of the first page.
            end = page_end if end is None else end
            records.extend(found)
            if not has_more:
                return result.Success(
                    interface.LatestRecords(tuple(records), end)
                )
            if not found:
                break
            query["After"] = records[-1].key
        # A key that is missing from some of the pages may still exist.
        return result.Failure(
            _malformed("/log-newest", "the last page never came")
        )

    return newest


async def _read_page(
    call: _Call, query: dict[str, object], is_continuation: bool
) -> result.Result[_Reply, interface.StoreFailure]:
    """Reads a page of the newest records.

    A failed continuation is repeated, since the pages before it would have to
    be transferred again.
    """
    for attempt in range(1, PAGE_ATTEMPTS + 1):
        reply = await call(
            "GET", "/log-newest", query, b"", TIMEOUT_S, TRANSFER_TIMEOUT_S
        )
        if pipeline.is_successful(reply) or not is_continuation:
            break
        if reply.failure().rejection is not None or attempt == PAGE_ATTEMPTS:
            break
        await asyncio.sleep(PAGE_RETRY_DELAY_S)
    return reply


def _post(path: str, call: _Call, fields: dict[str, object]) -> typing.Any:
    return call("POST", path, {}, msgspec.json.encode(fields), TIMEOUT_S)


def _join(call: _Call) -> typing.Any:
    async def join(
        group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> result.Result[interface.Membership, interface.StoreFailure]:
        reply = await _post(
            "/log-join",
            call,
            {
                "group": group,
                "Member": member,
                "Topics": [topic],
                "TtlMs": ttl_ms,
                "Generation": generation,
            },
        )
        if not pipeline.is_successful(reply):
            return result.Failure(reply.failure())
        return _accept(
            "/log-join", store_responses.decode_membership(reply.unwrap().body)
        )

    return join


def _leave(call: _Call) -> typing.Any:
    async def leave(
        group: str, member: str
    ) -> result.Result[None, interface.StoreFailure]:
        reply = await _post(
            "/log-leave", call, {"group": group, "Member": member}
        )
        if pipeline.is_successful(reply):
            return result.Success(None)
        return result.Failure(reply.failure())

    return leave


def _owners(call: _Call) -> typing.Any:
    async def owners(
        group: str,
    ) -> result.Result[dict[int, str], interface.StoreFailure]:
        reply = await call(
            "GET", "/log-owners", {"group": group}, b"", TIMEOUT_S
        )
        return reply.bind(
            lambda response: _accept(
                "/log-owners", store_responses.decode_owners(response.body)
            )
        )

    return owners
