"""Deterministic fold of log records into the configuration.

All entry hosts fold the same records in the same order and must reach the same
state, so nothing here reads a clock, random numbers or local settings. The
order of the log decides races: the fold rejects records that are stale,
repeated or malformed, or that violate a rule. This module checks order, ids
and versions; `fold_rules` has the rules of each kind.
"""

from collections import abc
import enum
import typing

from returns import pipeline

from chervillead import error_texts
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold_rules
from chervillead.fleet import persistent_map
from chervillead.fleet import record_fields
from chervillead.fleet import records

# Window, in records, in which a repeated id is detected. A proposer gives up
# long before that many records have passed, so a repeat of an older id can't
# be a late retry.
RECENT_IDS = 20000

# Old entries are pruned in batches: a scan of all entries for each record
# would cost far more than folding the record.
_PRUNE_BATCH_RECORDS = 4096


class Outcome(enum.Enum):
    """Outcome of folding one record; all but ACCEPTED leave it without effect.

    Attributes:
        ACCEPTED: The record is applied.
        REPEATED: A recent record has the same id.
        STALE: The record is not based on the current version of its subject.
        MALFORMED: The bytes, the kind or the fields are invalid.
        REFUSED: The record violates a rule of its kind.
    """

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    STALE = "stale"
    MALFORMED = "malformed"
    REFUSED = "refused"


class FoldResult(typing.NamedTuple):
    """Result of folding one record.

    Attributes:
        offset: Offset of the record in the log.
        record_id: Id of the record; empty if it could not be decoded.
        outcome: Whether the record was accepted, or why not.
        detail: Explanation of an outcome other than ACCEPTED.
    """

    offset: int
    record_id: str
    outcome: Outcome
    detail: str = ""


class FoldStep(typing.NamedTuple):
    """State after a record, and the result of folding it."""

    configuration: configuration_module.Configuration
    result: FoldResult


class _Evaluation(typing.NamedTuple):
    """Outcome of a record and the state that follows from its value.

    The state is unchanged unless the record is accepted.
    """

    outcome: Outcome
    detail: str
    configuration: configuration_module.Configuration


def fold_records(
    configuration: configuration_module.Configuration,
    entries: abc.Iterable[records.OffsetRecord],
) -> abc.Iterator[FoldStep]:
    """Yields the state and the result after each record.

    Args:
        configuration: State to start from.
        entries: Records in offset order. Records at or below the state's
            offset are skipped, so overlapping reads are harmless.
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
    """Returns the result of folding `record` as the next one in the log."""
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
    evaluation = _evaluate(configuration, record)
    state = evaluation.configuration
    changes: dict[str, typing.Any] = {"offset": entry.offset}
    if evaluation.outcome is not Outcome.REPEATED:
        changes["recent_ids"] = _with_recent_id(
            state.recent_ids, record.record_id, entry.offset
        )
    if evaluation.outcome is Outcome.ACCEPTED and (
        record.kind in record_fields.VALUE_TYPES
    ):
        changes["versions"] = persistent_map.as_persistent(
            state.versions
        ).with_entry((record.kind, record.subject), entry.offset)
    folded = state._replace(**changes)
    if len(folded.recent_ids) > RECENT_IDS + _PRUNE_BATCH_RECORDS:
        folded = _prune_old_entries(folded)
    return FoldStep(
        folded,
        FoldResult(
            entry.offset,
            record.record_id,
            evaluation.outcome,
            error_texts.shorten_text(evaluation.detail),
        ),
    )


def _evaluate(
    configuration: configuration_module.Configuration, record: records.Record
) -> _Evaluation:
    """Checks the id, kind and version, then the rules of the record's kind."""

    def rejected(outcome: Outcome, detail: str) -> _Evaluation:
        return _Evaluation(outcome, detail, configuration)

    first_offset = configuration.recent_ids.get(record.record_id)
    if (
        first_offset is not None
        and configuration.offset - first_offset < RECENT_IDS
    ):
        return rejected(
            Outcome.REPEATED, f"repeats the record at offset {first_offset}"
        )
    if record.kind not in records.KINDS:
        return rejected(
            Outcome.MALFORMED,
            f"unknown kind {record.kind!r}, allowed are "
            f"{sorted(records.KINDS)}",
        )
    if record.kind not in record_fields.VALUE_TYPES:
        return _Evaluation(Outcome.ACCEPTED, "", configuration)
    version = configuration.versions.get(
        (record.kind, record.subject), records.NO_VERSION
    )
    if record.based_on != version:
        return rejected(
            Outcome.STALE,
            f"{record.kind} {record.subject!r} is based on version "
            f"{record.based_on}, current is {version}",
        )
    converted = record_fields.convert_fields(record.kind, record.fields)
    if not pipeline.is_successful(converted):
        return rejected(Outcome.MALFORMED, converted.failure())
    applied = fold_rules.apply_value(
        configuration, record.kind, record.subject, converted.unwrap()
    )
    if not pipeline.is_successful(applied):
        return rejected(Outcome.REFUSED, applied.failure())
    return _Evaluation(Outcome.ACCEPTED, "", applied.unwrap())


def _with_recent_id(
    recent: abc.Mapping[str, int], record_id: str, offset: int
) -> persistent_map.PersistentMap[str, int]:
    return persistent_map.as_persistent(recent).with_entry(record_id, offset)


def _prune_old_entries(
    state: configuration_module.Configuration,
) -> configuration_module.Configuration:
    """Drops ids and versions of removed subjects older than the window.

    Hosts are replaced under new names, so versions of removed hosts would
    accumulate without bound. A proposer that still knows a removed subject has
    given up by then.
    """

    def is_kept(kind: str, subject: str, offset: int) -> bool:
        # Fields of the configuration are the plurals of the kinds.
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
