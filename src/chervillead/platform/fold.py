"""Deterministic fold of log records into the configuration.

All entry hosts fold the same records in the same order and must end in the
same state, so nothing here reads a clock, a random number or local settings.
The log arbitrates races; the fold refuses what is stale, repeated, malformed
or would break a rule.
"""

from collections import abc
import enum
import typing

import msgspec

from chervillead.platform import configuration as configuration_module
from chervillead.platform import records

# A proposer gives up long before this many records have passed, so a repeat
# of an older id can't be a late retry.
RECENT_IDS = 20000


class Outcome(enum.Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    STALE = "stale"
    MALFORMED = "malformed"
    REFUSED = "refused"


class Fate(typing.NamedTuple):
    """Outcome of one record; `detail` names the rule that refused it."""

    offset: int
    record_id: str
    outcome: Outcome
    detail: str = ""


class FoldStep(typing.NamedTuple):
    """State after a record, and the record's fate."""

    configuration: configuration_module.Configuration
    fate: Fate


# Field of the configuration and the type of its values, by record kind.
_SUBJECTS: dict[str, tuple[str, type]] = {
    records.QUEUE: ("queues", configuration_module.Queue),
    records.TEAM: ("teams", configuration_module.Team),
    records.KEY: ("keys", configuration_module.Key),
    records.POOL: ("pools", configuration_module.Pool),
    records.HOST: ("hosts", configuration_module.Host),
    records.ZONE: ("zones", configuration_module.Zone),
    records.SEAT: ("seats", configuration_module.Seat),
    records.DRAIN: ("drains", configuration_module.Drain),
    records.MOVE: ("moves", configuration_module.Move),
    records.ROLLOUT: ("rollouts", configuration_module.Rollout),
}


class _MalformedRecordError(Exception):
    """The fields of a record don't fit its kind."""


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


def _fold_record(
    configuration: configuration_module.Configuration,
    entry: records.OffsetRecord,
) -> FoldStep:
    advanced = configuration._replace(offset=entry.offset)
    record = entry.record
    if record is None or record.kind not in records.KINDS:
        record_id = "" if record is None else record.record_id
        return FoldStep(
            advanced, Fate(entry.offset, record_id, Outcome.MALFORMED)
        )
    if record.record_id in configuration.recent_ids:
        first = configuration.recent_ids[record.record_id]
        detail = f"repeats the record at offset {first}"
        fate = Fate(entry.offset, record.record_id, Outcome.REPEATED, detail)
        return FoldStep(advanced, fate)
    fate = Fate(entry.offset, record.record_id, Outcome.ACCEPTED)
    advanced = advanced._replace(
        recent_ids=_with_recent_id(
            configuration.recent_ids, record.record_id, entry.offset
        )
    )
    if record.kind not in _SUBJECTS:
        return FoldStep(advanced, fate)
    version = configuration.versions.get(
        (record.kind, record.subject), records.NO_VERSION
    )
    if record.based_on != version:
        detail = f"based on version {record.based_on}, current is {version}"
        return FoldStep(
            advanced, fate._replace(outcome=Outcome.STALE, detail=detail)
        )
    try:
        return FoldStep(_with_subject(advanced, entry.offset, record), fate)
    except _MalformedRecordError as error:
        return FoldStep(
            advanced,
            fate._replace(outcome=Outcome.MALFORMED, detail=str(error)),
        )


def _with_recent_id(
    recent: abc.Mapping[str, int], record_id: str, offset: int
) -> dict[str, int]:
    updated = dict(recent)
    updated[record_id] = offset
    while len(updated) > RECENT_IDS:
        del updated[next(iter(updated))]
    return updated


def _with_subject(
    configuration: configuration_module.Configuration,
    offset: int,
    record: records.Record,
) -> configuration_module.Configuration:
    field, value_type = _SUBJECTS[record.kind]
    subjects = dict(getattr(configuration, field))
    if record.fields:
        subjects[record.subject] = _convert(record.fields, value_type)
    else:
        subjects.pop(record.subject, None)
    versions = dict(configuration.versions)
    versions[(record.kind, record.subject)] = offset
    changes: dict[str, typing.Any] = {field: subjects, "versions": versions}
    return configuration._replace(**changes)


def _convert(fields: dict[str, typing.Any], value_type: type) -> typing.Any:
    """Returns the named tuple of `value_type` that `fields` describe."""
    names: tuple[str, ...] = value_type._fields  # type: ignore[attr-defined]
    unknown = sorted(set(fields) - set(names))
    if unknown:
        raise _MalformedRecordError(
            f"unknown fields {unknown}, allowed are {sorted(names)}"
        )
    defaults = value_type._field_defaults  # type: ignore[attr-defined]
    missing = [n for n in names if n not in fields and n not in defaults]
    if missing:
        raise _MalformedRecordError(f"missing fields {missing}")
    ordered = [fields.get(name, defaults.get(name)) for name in names]
    try:
        return msgspec.convert(
            msgspec.to_builtins(ordered), value_type, strict=False
        )
    except msgspec.ValidationError as error:
        raise _MalformedRecordError(str(error)) from error
