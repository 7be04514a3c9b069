"""Publishes records: appends them to the log and waits for their results."""

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

# Delay before a retry of an append: random between the minimum and a ceiling
# that doubles with each attempt. A record is appended at most about six times
# in 10 s, whatever the platform answers.
MIN_RETRY_DELAY_S = 0.2
INITIAL_RETRY_CEILING_S = 1.0
MAX_RETRY_CEILING_S = 4.0


class Publication(enum.Enum):
    """Outcome of publishing a record.

    Attributes:
        ACCEPTED: The record is in the log and took effect.
        REFUSED: The record had no effect and will have none.
        UNKNOWN: The record may be in the log, but was not seen there in time.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PublishedRecord(typing.NamedTuple):
    """Result of publishing a record.

    Attributes:
        publication: Outcome.
        record_id: Id of the record.
        offset: Offset in the log, if the record was seen there.
        detail: Reason of an outcome other than ACCEPTED.
    """

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
    """Returns a record based on the latest version known to this host."""
    version = reader.configuration.versions.get(
        (kind, subject), records.NO_VERSION
    )
    record_id = str(uuid.UUID(bytes=random.randbytes(16), version=4))
    return records.Record(record_id, kind, subject, version, fields)


def check_record(
    record: records.Record, reader: log_reader.LogReader
) -> fold.FoldResult:
    """Returns the result that `record` would have now, without appending it."""
    return fold.check_record(reader.configuration, record)


async def publish(
    record: records.Record,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    within_s: float = PUBLISH_TIMEOUT_S,
) -> PublishedRecord:
    """Appends `record`, with retries, until its result is read from the log.

    An append whose reply was lost may have taken effect. Retries are safe,
    because the fold ignores records with a repeated id. After a confirmed
    append, the record is not appended again.

    Args:
        record: The record. It is not appended if it is malformed.
        reader: Reader of the log that returns the result.
        platform: Client of the platform's log.
        clock: Clock of the time-out.
        within_s: Time-out in seconds.
    """
    preflight = check_record(record, reader)
    if preflight.outcome is fold.Outcome.MALFORMED:
        # Whether a record is malformed does not depend on the state.
        return _published(preflight)._replace(offset=None)
    deadline_s = clock.monotonic() + within_s
    data = records.encode_record(record)
    attempts, may_be_in_log = 0, False
    while clock.monotonic() < deadline_s:
        fold_result = _find_result(record, reader)
        if fold_result is not None:
            return _published(fold_result)
        appended = await platform.append(data)
        if pipeline.is_successful(appended):
            delay_s = within_s
        else:
            ceiling_s = min(
                MAX_RETRY_CEILING_S, INITIAL_RETRY_CEILING_S * 2**attempts
            )
            delay_s = random.uniform(MIN_RETRY_DELAY_S, ceiling_s)
        attempts += 1
        if appended != result.Failure(log_client.RATE_LIMITED):
            may_be_in_log = True
        until_s = min(deadline_s, clock.monotonic() + delay_s)
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


def _find_result(
    record: records.Record, reader: log_reader.LogReader
) -> fold.FoldResult | None:
    """Returns the result of the record, or None if this host doesn't know it.

    A host that installed a snapshot may not have folded the record itself. The
    snapshot has the offset of the record; the record was accepted if the
    version of its subject has that offset.
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
    while (fold_result := _find_result(record, reader)) is None:
        remaining_s = until_s - clock.monotonic()
        if remaining_s <= 0:
            return None
        try:
            async with asyncio.timeout(remaining_s):
                await reader.wait_for_change()
        except TimeoutError:
            return _find_result(record, reader)
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
