"""Appending a record and reading back what became of it."""

import asyncio
import enum
import random
import typing
import uuid

from chervillead import types
from chervillead.platform import fold
from chervillead.platform import log_client
from chervillead.platform import log_reader
from chervillead.platform import records

READ_BACK_S = 10.0
APPEND_RETRY_S = 1.0


class Publication(enum.Enum):
    """Result of publishing a record."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PublishedRecord(typing.NamedTuple):
    """What became of a published record; `detail` gives the reason."""

    publication: Publication
    record_id: str
    offset: int | None = None
    detail: str = ""


def propose(
    reader: log_reader.LogReader,
    kind: str,
    subject: str,
    fields: dict[str, typing.Any],
) -> records.Record:
    """Returns a record based on the newest version that this host knows."""
    version = reader.configuration.versions.get(
        (kind, subject), records.NO_VERSION
    )
    record_id = str(uuid.UUID(bytes=random.randbytes(16), version=4))
    return records.Record(record_id, kind, subject, version, fields)


async def publish(
    record: records.Record,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
) -> PublishedRecord:
    """Appends `record` until its fate is seen in the log, or time runs out.

    An append whose answer was lost may have taken effect. The fold passes over
    a repeated id, so appending again is safe.
    """
    give_up_s = clock.monotonic() + READ_BACK_S
    data = records.encode_record(record)
    while clock.monotonic() < give_up_s:
        await platform.append(data)
        fate = await _wait_for_fate(
            record.record_id,
            reader,
            clock,
            until_s=min(give_up_s, clock.monotonic() + APPEND_RETRY_S),
        )
        if fate is not None:
            return _published(fate)
    return PublishedRecord(
        Publication.UNKNOWN,
        record.record_id,
        detail=f"not seen in the log within {READ_BACK_S} s",
    )


async def _wait_for_fate(
    record_id: str,
    reader: log_reader.LogReader,
    clock: types.Clock,
    *,
    until_s: float,
) -> fold.Fate | None:
    while (fate := reader.fate_of(record_id)) is None:
        left_s = until_s - clock.monotonic()
        if left_s <= 0:
            return None
        try:
            async with asyncio.timeout(left_s):
                await reader.wait_for_change()
        except TimeoutError:
            return reader.fate_of(record_id)
    return fate


def _published(fate: fold.Fate) -> PublishedRecord:
    if fate.outcome is fold.Outcome.ACCEPTED:
        return PublishedRecord(
            Publication.ACCEPTED, fate.record_id, fate.offset
        )
    return PublishedRecord(
        Publication.REFUSED,
        fate.record_id,
        fate.offset,
        f"{fate.outcome.value}: {fate.detail}",
    )
