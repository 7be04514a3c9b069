"""Deterministic fold of log records into the configuration.

All entry hosts fold the same records in the same order and must end in the
same state, so nothing here reads a clock, a random number or local settings.
The log arbitrates races; the fold refuses what is stale, repeated, malformed
or would break a rule. This module deals with order, ids and versions;
`fold_rules` holds the rules of each kind.
"""

from collections import abc
import enum
import typing

from returns import pipeline

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold_rules
from chervillead.fleet import persistent_map
from chervillead.fleet import record_fields
from chervillead.fleet import records

# A proposer gives up long before this many records have passed, so a repeat
# of an older id can't be a late retry.
RECENT_IDS = 20000

# Older entries are dropped in groups: a walk over all of them for each record
# would cost far more than the record itself.
_DROPPED_TOGETHER = 4096


class Outcome(enum.Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    STALE = "stale"
    MALFORMED = "malformed"
    REFUSED = "refused"


class FoldResult(typing.NamedTuple):
    """Outcome of one record; `detail` names the rule that refused it."""

    offset: int
    record_id: str
    outcome: Outcome
    detail: str = ""


class FoldStep(typing.NamedTuple):
    """State after a record, and the record's fate."""

    configuration: configuration_module.Configuration
    result: FoldResult


class _Judgement(typing.NamedTuple):
    """What a record makes of the state; the state is unchanged if refused."""

    outcome: Outcome
    detail: str
    configuration: configuration_module.Configuration


def fold_records(
    configuration: configuration_module.Configuration,
    entries: abc.Iterable[records.OffsetRecord],
) -> abc.Iterator[FoldStep]:
    """Yields the state and fate after each record.

    Args:
        configuration: State to start from.
        entries: Records in offset order; offsets at or below the state's
            offset are passed over, so overlapping reads are harmless.
    """
    for entry in entries:
        if entry.offset <= configuration.offset:
            continue
        step = _fold_record(configuration, entry)
        configuration = step.configuration
        yield step


def check_record(
    configuration: configuration_module.Configuration, record: records.Record
) -> FoldResult:
    """Returns the fate that `record` would have as the next one in the log."""
    entry = records.OffsetRecord(configuration.offset + 1, record)
    return _fold_record(configuration, entry).result


def _fold_record(
    configuration: configuration_module.Configuration,
    entry: records.OffsetRecord,
) -> FoldStep:
    record = entry.record
    if record is None:
        advanced = configuration._replace(offset=entry.offset)
        fold_result = FoldResult(
            entry.offset, "", Outcome.MALFORMED, "not a record"
        )
        return FoldStep(advanced, fold_result)
    judgement = _judge(configuration, record)
    state = judgement.configuration
    changes: dict[str, typing.Any] = {"offset": entry.offset}
    if judgement.outcome is not Outcome.REPEATED:
        changes["recent_ids"] = _with_recent_id(
            state.recent_ids, record.record_id, entry.offset
        )
    if judgement.outcome is Outcome.ACCEPTED and (
        record.kind in record_fields.VALUE_TYPES
    ):
        changes["versions"] = persistent_map.as_persistent(
            state.versions
        ).with_entry((record.kind, record.subject), entry.offset)
    folded = state._replace(**changes)
    if len(folded.recent_ids) > RECENT_IDS + _DROPPED_TOGETHER:
        folded = _without_old_entries(folded)
    return FoldStep(
        folded,
        FoldResult(
            entry.offset, record.record_id, judgement.outcome, judgement.detail
        ),
    )


def _judge(
    configuration: configuration_module.Configuration, record: records.Record
) -> _Judgement:
    """Checks id, kind and version, then the rules of the record's kind."""

    def refused(outcome: Outcome, detail: str) -> _Judgement:
        return _Judgement(outcome, detail, configuration)

    first = configuration.recent_ids.get(record.record_id)
    if first is not None and configuration.offset - first < RECENT_IDS:
        return refused(
            Outcome.REPEATED, f"repeats the record at offset {first}"
        )
    if record.kind not in records.KINDS:
        return refused(
            Outcome.MALFORMED,
            f"unknown kind {record.kind!r}, allowed are "
            f"{sorted(records.KINDS)}",
        )
    if record.kind not in record_fields.VALUE_TYPES:
        return _Judgement(Outcome.ACCEPTED, "", configuration)
    version = configuration.versions.get(
        (record.kind, record.subject), records.NO_VERSION
    )
    if record.based_on != version:
        return refused(
            Outcome.STALE,
            f"{record.kind} {record.subject!r} is based on version "
            f"{record.based_on}, current is {version}",
        )
    converted = record_fields.convert_fields(record.kind, record.fields)
    if not pipeline.is_successful(converted):
        return refused(Outcome.MALFORMED, converted.failure())
    applied = fold_rules.apply_value(
        configuration, record.kind, record.subject, converted.unwrap()
    )
    if not pipeline.is_successful(applied):
        return refused(Outcome.REFUSED, applied.failure())
    return _Judgement(Outcome.ACCEPTED, "", applied.unwrap())


def _with_recent_id(
    recent: abc.Mapping[str, int], record_id: str, offset: int
) -> persistent_map.PersistentMap[str, int]:
    return persistent_map.as_persistent(recent).with_entry(record_id, offset)


def _without_old_entries(
    state: configuration_module.Configuration,
) -> configuration_module.Configuration:
    """Drops ids beyond the window and versions of subjects long removed.

    Hosts are replaced under new names, so their versions would add up for
    good. A proposer that still knows a removed subject has given up by then.
    """

    def is_kept(kind: str, subject: str, offset: int) -> bool:
        # The configuration's fields are named after the kinds.
        values = getattr(state, f"{kind}s", None)
        return (
            state.offset - offset <= RECENT_IDS
            or values is None
            or subject in values
        )

    return state._replace(
        recent_ids=persistent_map.PersistentMap(
            {
                known: at
                for known, at in state.recent_ids.items()
                if state.offset - at <= RECENT_IDS
            }
        ),
        versions=persistent_map.PersistentMap(
            {
                (kind, subject): at
                for (kind, subject), at in state.versions.items()
                if is_kept(kind, subject, at)
            }
        ),
    )
