"""Decodes the responses of the platform's store."""

import base64
import typing

import msgspec
from returns import result

from chervillead import error_texts
from chervillead import http_exchange
from chervillead import verdicts
from chervillead.platform import store_records
from chervillead.platform import wire
from chervillead.store import interface

_REJECTIONS = {
    "fenced": interface.RejectionReason.FENCED,
    "seq": interface.RejectionReason.OUT_OF_SEQUENCE,
}

# Statuses of calls that the store rejects whenever they are made: malformed or
# too large, not allowed, without such a topic.
_NEVER_ACCEPTED = frozenset({400, 403, 404, 413})
# Statuses of calls that weren't executed and may succeed later: too many, out
# of service, out of space.
_NOT_EXECUTED = frozenset({429, 503, 507})

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


def decode_failure(
    path: str, response: http_exchange.HttpResponse
) -> interface.StoreFailure:
    """Maps a response with a status other than 200 to a failure."""
    # The status alone tells what an unreadable failure means.
    fields = wire.decode(_failure_decoder, response.body or b"{}").value_or(
        _FailureFields()
    )
    detail = f"{path}: {response.status} {error_texts.shorten(fields)}"
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
    if response.status in _NEVER_ACCEPTED:
        return interface.StoreFailure(
            verdicts.Verdict.NOT_RUN, detail, interface.RejectionReason.INVALID
        )
    verdict = (
        verdicts.Verdict.NOT_RUN
        if response.status in _NOT_EXECUTED
        else verdicts.Verdict.MAY_HAVE_RUN
    )
    return interface.StoreFailure(verdict, detail)


def decode_append(body: bytes) -> result.Result[int, wire.Malformed]:
    """Returns the end of the partition in the response to an append."""
    return wire.decode(_append_decoder, body).map(
        lambda fields: fields.get("End", 0)
    )


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
        return result.Failure(wire.malformed(repr(error)))
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
        return result.Failure(wire.malformed(error))
    end_offset, _ = store_records.HEAD.unpack_from(body)
    return result.Success(
        interface.ReadPage(records, offset + len(records), end_offset)
    )


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
