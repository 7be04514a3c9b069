"""Client of the platform's store, as `store.interface.Store`."""

import asyncio
import base64
from collections import abc
import typing
import urllib.parse

import msgspec
from returns import pipeline
from returns import result

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.platform import store_records
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

_REJECTIONS = {
    "fenced": interface.RejectionReason.FENCED,
    "seq": interface.RejectionReason.OUT_OF_SEQUENCE,
}


_Value = typing.TypeVar("_Value")
# Topic, partition and committed offset.
_PartitionRow = tuple[str, wire.Count, int | None]
# Topic, partition, member and committed offset.
_OwnerRow = tuple[str, wire.Count, str | None, int | None]


class _FailureFields(typing.TypedDict):
    Reason: typing.NotRequired[str]
    Seq: typing.NotRequired[wire.Count]
    First: typing.NotRequired[wire.Count]


class _AppendFields(typing.TypedDict):
    End: typing.NotRequired[wire.Count]


class _NewestItem(typing.TypedDict):
    Key: str
    # In base64.
    Value: str
    Offset: wire.Count


class _NewestFields(typing.TypedDict):
    items: list[_NewestItem]
    HasMore: bool
    End: wire.Count


class _JoinFields(typing.TypedDict):
    Generation: wire.Count
    parts: list[_PartitionRow]


class _OwnersFields(typing.TypedDict):
    parts: typing.NotRequired[list[_OwnerRow] | None]
    items: typing.NotRequired[list[_OwnerRow] | None]


_failure_decoder = msgspec.json.Decoder(_FailureFields)
_append_decoder = msgspec.json.Decoder(_AppendFields)
_newest_decoder = msgspec.json.Decoder(_NewestFields)
_join_decoder = msgspec.json.Decoder(_JoinFields)
_owners_decoder = msgspec.json.Decoder(list[_OwnerRow] | _OwnersFields)


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
) -> interface.Store:
    """Returns a client of the store at `address`.

    Args:
        address: Address of the store.
        increment: Increments a counter, by name and label values.
        dial: Opens connections.
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
        return result.Failure(_failure(path, response))

    return interface.Store(
        append=_append(call),
        read=_read(call),
        read_latest=_newest(call),
        join=_join(call),
        leave=_leave(call),
        owners=_owners(call),
    )


def _failure(
    path: str, response: http_exchange.HttpResponse
) -> interface.StoreFailure:
    """Maps a response with a status other than 200 to a failure."""
    # The status alone tells what an unreadable failure means.
    fields = wire.decode(_failure_decoder, response.body or b"{}").value_or(
        _FailureFields()
    )
    detail = f"{path}: {response.status} {fields}"
    if response.status == 409:
        return interface.StoreFailure(
            verdicts.Verdict.NOT_RUN,
            detail,
            _REJECTIONS.get(
                fields.get("Reason", ""), interface.RejectionReason.NOT_A_MEMBER
            ),
            # The response's Seq is the sequence number that the store expects.
            fields.get("Seq"),
        )
    if response.status == 410:
        return interface.StoreFailure(
            verdicts.Verdict.NOT_RUN,
            detail,
            interface.RejectionReason.OFFSET_EXPIRED,
            fields.get("First"),
        )
    verdict = (
        verdicts.Verdict.NOT_RUN
        if response.status in (400, 403, 404, 429, 503, 507)
        else verdicts.Verdict.MAY_HAVE_RUN
    )
    return interface.StoreFailure(verdict, detail)


def _malformed(path: str, detail: str) -> interface.StoreFailure:
    return interface.StoreFailure(
        verdicts.Verdict.MAY_HAVE_RUN, f"{path}: malformed response: {detail}"
    )


def _accept(
    path: str, decoded: result.Result[_Value, wire.Malformed]
) -> result.Result[_Value, interface.StoreFailure]:
    """Returns a decoded response, or the failure that it amounts to."""
    return decoded.alt(lambda malformed: _malformed(path, malformed.detail))


def _append(call: _Call) -> typing.Any:
    async def append(
        topic: str,
        partition: int,
        records: abc.Sequence[interface.KeyedRecord],
        producer: interface.Producer | None,
    ) -> result.Result[int, interface.StoreFailure]:
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
                "/log-append", wire.decode(_append_decoder, response.body)
            )
        ).map(lambda fields: fields.get("End", 0))

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
        return _accept("/log-read", decode_read(reply.unwrap().body, offset))

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
            page = _accept("/log-newest", decode_latest(reply.unwrap().body))
            if not pipeline.is_successful(page):
                return result.Failure(page.failure())
            found, has_more, page_end = page.unwrap()
            # Pages are not a consistent snapshot, so the caller reads on from
            # the end offset of the first page.
            end = page_end if end is None else end
            records.extend(found)
            if not has_more or not found:
                break
            query["After"] = records[-1].key
        return result.Success(
            interface.LatestRecords(tuple(records), typing.cast(int, end))
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


class LatestPage(typing.NamedTuple):
    """Some of the latest records.

    Attributes:
        records: The records, by key.
        has_more: Whether records of later keys follow.
        end: End of the partition at the time of the read.
    """

    records: tuple[interface.KeyedRecord, ...]
    has_more: bool
    end: int


def decode_latest(body: bytes) -> result.Result[LatestPage, wire.Malformed]:
    """Returns the latest records in a response, or why there are none."""
    return wire.decode(_newest_decoder, body).bind(_latest_page)


def _latest_page(
    fields: _NewestFields,
) -> result.Result[LatestPage, wire.Malformed]:
    try:
        records = tuple(
            interface.KeyedRecord(
                item["Key"],
                base64.b64decode(item["Value"], validate=True),
                item["Offset"],
            )
            for item in fields["items"]
        )
    except ValueError as error:
        return result.Failure(wire.Malformed(repr(error)))
    return result.Success(LatestPage(records, fields["HasMore"], fields["End"]))


def decode_read(
    body: bytes, offset: int
) -> result.Result[interface.ReadPage, wire.Malformed]:
    """Returns the page in the response to a read, or why there is none.

    Args:
        body: Body of the response.
        offset: Offset from which it was read.
    """
    try:
        records = tuple(store_records.decode_page(body, offset))
    except ValueError as error:
        return result.Failure(wire.Malformed(str(error)))
    end_offset, _ = store_records.HEAD.unpack_from(body)
    return result.Success(
        interface.ReadPage(records, offset + len(records), end_offset)
    )


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
        return _accept("/log-join", decode_membership(reply.unwrap().body))

    return join


def decode_membership(
    body: bytes,
) -> result.Result[interface.Membership, wire.Malformed]:
    """Returns the membership in a response, or why there is none."""
    return wire.decode(_join_decoder, body).map(_membership)


def _membership(fields: _JoinFields) -> interface.Membership:
    return interface.Membership(
        fields["Generation"],
        frozenset(partition for _, partition, _ in fields["parts"]),
    )


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
                "/log-owners", decode_owners(response.body)
            )
        )

    return owners


def decode_owners(
    body: bytes,
) -> result.Result[dict[int, str], wire.Malformed]:
    """Returns the member of each partition in a response, or why not."""
    return wire.decode(_owners_decoder, body).map(_owner_of_partition)


def _owner_of_partition(
    fields: list[_OwnerRow] | _OwnersFields,
) -> dict[int, str]:
    rows = fields if isinstance(fields, list) else _rows(fields)
    return {partition: member for _, partition, member, _ in rows if member}


def _rows(fields: _OwnersFields) -> list[_OwnerRow]:
    return fields.get("parts") or fields.get("items") or []
