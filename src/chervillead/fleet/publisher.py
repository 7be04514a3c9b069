"""Appending a record and reading back what became of it."""

import asyncio
import enum
import random
import typing
import uuid

from returns import pipeline
from returns import result

from chervillead import types
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import records

PUBLISH_TIMEOUT_S = 10.0

# Pause before the next append of the same record: full jitter between the
# floor and a ceiling that doubles, so that a record is appended about six
# times in 10 s at most, whatever the platform answers.
MIN_RETRY_S = 0.2
FIRST_RETRY_S = 1.0
MAX_RETRY_S = 4.0


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


def check_record(
    record: records.Record, reader: log_reader.LogReader
) -> fold.FoldResult:
    """Returns what the fold would make of `record` now; appends nothing."""
    return fold.check_record(reader.configuration, record)


async def publish(
    record: records.Record,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    within_s: float = PUBLISH_TIMEOUT_S,
) -> PublishedRecord:
    """Appends `record` until its fate is seen in the log, or time runs out.

    An append whose answer was lost may have taken effect. The fold passes over
    a repeated id, so appending again is safe. Once an append was confirmed,
    only the fate is awaited.
    """
    checked = check_record(record, reader)
    if checked.outcome is fold.Outcome.MALFORMED:
        # No state makes it well-formed, so it isn't appended at all.
        return _published(checked)._replace(offset=None)
    give_up_s = clock.monotonic() + within_s
    data = records.encode_record(record)
    attempts, may_be_in_log = 0, False
    while clock.monotonic() < give_up_s:
        fold_result = _known_result(record, reader)
        if fold_result is not None:
            return _published(fold_result)
        appended = await platform.append(data)
        if pipeline.is_successful(appended):
            pause_s = within_s
        else:
            ceiling_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**attempts)
            pause_s = random.uniform(MIN_RETRY_S, ceiling_s)
        attempts += 1
        if appended != result.Failure(log_client.RATE_LIMITED):
            may_be_in_log = True
        until_s = min(give_up_s, clock.monotonic() + pause_s)
        fold_result = await _wait_for_result(
            record, reader, clock, until_s=until_s
        )
        if fold_result is not None:
            return _published(fold_result)
    if not may_be_in_log:
        return PublishedRecord(
            Publication.REFUSED,
            record.record_id,
            detail=f"not appended: {log_client.RATE_LIMITED}",
        )
    return PublishedRecord(
        Publication.UNKNOWN,
        record.record_id,
        detail=f"not seen in the log within {within_s} s",
    )


def _known_result(
    record: records.Record, reader: log_reader.LogReader
) -> fold.FoldResult | None:
    """Returns the record's fate if this host can tell it.

    A host that went on from a snapshot didn't fold the record itself; the
    snapshot tells where the record was and whether it set the version.
    """
    fold_result = reader.result_of(record.record_id)
    if fold_result is not None:
        return fold_result
    state = reader.configuration
    offset = state.recent_ids.get(record.record_id)
    if offset is None:
        return None
    if state.versions.get((record.kind, record.subject)) == offset:
        return fold.FoldResult(offset, record.record_id, fold.Outcome.ACCEPTED)
    return None


async def _wait_for_result(
    record: records.Record,
    reader: log_reader.LogReader,
    clock: types.Clock,
    *,
    until_s: float,
) -> fold.FoldResult | None:
    while (fold_result := _known_result(record, reader)) is None:
        left_s = until_s - clock.monotonic()
        if left_s <= 0:
            return None
        try:
            async with asyncio.timeout(left_s):
                await reader.wait_for_change()
        except TimeoutError:
            return _known_result(record, reader)
    return fold_result


def _published(fold_result: fold.FoldResult) -> PublishedRecord:
    if fold_result.outcome is fold.Outcome.ACCEPTED:
        return PublishedRecord(
            Publication.ACCEPTED, fold_result.record_id, fold_result.offset
        )
    return PublishedRecord(
        Publication.REFUSED,
        fold_result.record_id,
        fold_result.offset,
        f"{fold_result.outcome.value}: {fold_result.detail}",
    )
