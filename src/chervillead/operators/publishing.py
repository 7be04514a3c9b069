"""Publishes changes of operators and determines their outcomes.

A change contains only the fields that differ. It is based on the version that
the command has just read, so the fold rejects it as stale if another operator
has published a change of the same subject in the meantime.
"""

from collections import abc
import difflib
import typing

import msgspec
from returns import pipeline
from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import publisher
from chervillead.fleet import records
from chervillead.operators import session as session_module

# Maximum number of names in an error message; thousands would bury its hint.
MAX_LISTED_NAMES = 20

EXIT_ACCEPTED = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3

_EXIT_STATUS = {
    publisher.Publication.ACCEPTED: EXIT_ACCEPTED,
    publisher.Publication.REFUSED: EXIT_REFUSED,
    publisher.Publication.UNKNOWN: EXIT_UNKNOWN,
}


class Change(typing.NamedTuple):
    """A change of one subject.

    Attributes:
        kind: Kind of the record.
        subject: Name of the changed queue, team, host and so on.
        fields: Fields that differ from the current ones.
        remove: Whether the subject is removed.
        must_exist: Whether an unknown subject is rejected without an append.
        must_be_new: Whether a known subject is rejected without an append.
    """

    kind: str
    subject: str
    fields: abc.Mapping[str, typing.Any] = {}
    remove: bool = False
    must_exist: bool = False
    must_be_new: bool = False


class PublishAnswer(typing.TypedDict):
    """Outcome of a change, or its expected outcome in a dry run.

    `offset` is null in a dry run and if the record isn't known to be in the
    log. `reason` is empty for an accepted change.
    """

    publication: str
    kind: str
    subject: str
    record_id: str
    offset: int | None
    reason: str
    dry_run: bool


def values_by_subject(
    configuration: configuration_module.Configuration, kind: str
) -> abc.Mapping[str, typing.Any]:
    """Returns all values of a kind by subject."""
    # The configuration's fields are named after the kinds.
    return typing.cast(
        abc.Mapping[str, typing.Any], getattr(configuration, f"{kind}s")
    )


def merge_fields(
    current: typing.Any | None, changes: abc.Mapping[str, typing.Any]
) -> dict[str, typing.Any]:
    """Returns the current fields with the changes applied."""
    known = {} if current is None else msgspec.to_builtins(current._asdict())
    return {**known, **changes}


def merge_size(
    change: Change,
    size: abc.Mapping[str, typing.Any],
    configuration: configuration_module.Configuration,
) -> result.Result[Change, str]:
    """Returns the change of a host with its full size.

    Fields missing in `size` come from the current or default size of the host.
    """
    if not size:
        return result.Success(change)
    host = configuration.hosts.get(change.subject)
    default = configuration_module.Host._field_defaults["size"]
    current_size = default if host is None else host.size
    merged = list(current_size._replace(**size))
    return result.Success(
        change._replace(fields={**change.fields, "size": merged})
    )


def build_record(
    change: Change,
    session: session_module.Session,
    record_id: str | None = None,
) -> result.Result[records.Record, str]:
    """Returns the record of a change, or why the change is rejected.

    Args:
        change: Change to publish.
        session: Session with the log.
        record_id: Id of an earlier attempt at the same change, or None.
    """
    known = values_by_subject(session.reader.configuration, change.kind)
    current = known.get(change.subject)
    if current is None and (change.must_exist or change.remove):
        return result.Failure(
            unknown_subject_message(change.kind, change.subject, known)
        )
    if current is not None and change.must_be_new:
        return result.Failure(
            f"{change.kind} {change.subject!r} already exists; use another "
            "name or remove it first"
        )
    if not change.fields and not change.remove:
        # A record without fields would remove the subject.
        return result.Failure(
            f"no field of {change.kind} {change.subject!r} is given; there is "
            "nothing to change"
        )
    fields = {} if change.remove else merge_fields(current, change.fields)
    record = publisher.propose(
        session.reader, change.kind, change.subject, fields
    )
    return result.Success(
        record if record_id is None else record._replace(record_id=record_id)
    )


def unknown_subject_message(
    kind: str, name: str, known: abc.Iterable[str]
) -> str:
    """Returns an error message with the known names and the closest one."""
    known_names = sorted(known)
    closest = difflib.get_close_matches(name, known_names, 1)
    hint = f"; did you mean {closest[0]!r}?" if closest else ""
    if len(known_names) > MAX_LISTED_NAMES:
        return (
            f"unknown {kind} {name!r}; {len(known_names)} names are known{hint}"
        )
    return f"unknown {kind} {name!r}; known names are {known_names}{hint}"


async def publish_change(
    change: Change,
    session: session_module.Session,
    *,
    record_id: str | None = None,
    dry_run: bool = False,
    within_s: float = publisher.PUBLISH_TIMEOUT_S,
) -> PublishAnswer:
    """Publishes a change and returns its outcome.

    Args:
        change: Change to publish.
        session: Session with the log.
        record_id: Id of an earlier attempt with the outcome "unknown".
        dry_run: Whether to only check the change against the current state.
        within_s: Time after which the outcome is "unknown", in seconds.
    """
    previous = _previous_attempt(change, record_id, session)
    if previous is not None:
        return _answer(change, previous, dry_run)
    proposed = build_record(change, session, record_id)
    if not pipeline.is_successful(proposed):
        refusal = publisher.PublishedRecord(
            publisher.Publication.REFUSED,
            record_id or "",
            None,
            proposed.failure(),
        )
        return _answer(change, refusal, dry_run)
    record = proposed.unwrap()
    if dry_run:
        checked = publisher.check_record(record, session.reader)
        return _answer(change, _publication_of(checked), dry_run)
    published = await publisher.publish(
        record,
        session.reader,
        session.platform,
        session.clock,
        within_s=within_s,
    )
    return _answer(change, published, dry_run)


def exit_status(answer: PublishAnswer) -> int:
    """Returns the exit status for an answer: one of the `EXIT_` constants."""
    return _EXIT_STATUS[publisher.Publication(answer["publication"])]


def not_appended_answer(
    change: Change, record_id: str | None, reason: str, *, dry_run: bool
) -> PublishAnswer:
    """Returns the answer for a change that was not appended.

    With a `record_id` the outcome is unknown, since an earlier attempt under
    the same id may have taken effect.
    """
    publication = (
        publisher.Publication.REFUSED
        if record_id is None
        else publisher.Publication.UNKNOWN
    )
    published = publisher.PublishedRecord(
        publication, record_id or "", None, f"not appended: {reason}"
    )
    return _answer(change, published, dry_run)


def _previous_attempt(
    change: Change, record_id: str | None, session: session_module.Session
) -> publisher.PublishedRecord | None:
    """Returns the outcome of an earlier attempt, or None if not in the log.

    This is checked before the change is merged into the current fields: the
    first attempt may already be part of them, so the second would be published
    as a separate change.
    """
    if record_id is None:
        return None
    fold_result = session.reader.result_of(record_id)
    if fold_result is not None:
        return _publication_of(fold_result)
    configuration = session.reader.configuration
    offset = configuration.recent_ids.get(record_id)
    if offset is None:
        return None
    if configuration.versions.get((change.kind, change.subject)) == offset:
        return publisher.PublishedRecord(
            publisher.Publication.ACCEPTED, record_id, offset
        )
    return publisher.PublishedRecord(
        publisher.Publication.UNKNOWN,
        record_id,
        offset,
        f"the record was at offset {offset}, before the latest snapshot; "
        "`chervillead show` shows the current state",
    )


def _publication_of(fold_result: fold.FoldResult) -> publisher.PublishedRecord:
    if fold_result.outcome is fold.Outcome.ACCEPTED:
        return publisher.PublishedRecord(
            publisher.Publication.ACCEPTED,
            fold_result.record_id,
            fold_result.offset,
        )
    return publisher.PublishedRecord(
        publisher.Publication.REFUSED,
        fold_result.record_id,
        fold_result.offset,
        f"{fold_result.outcome.value}: {fold_result.detail}",
    )


def _answer(
    change: Change, published: publisher.PublishedRecord, dry_run: bool
) -> PublishAnswer:
    return PublishAnswer(
        publication=published.publication.value,
        kind=change.kind,
        subject=change.subject,
        record_id=published.record_id,
        offset=None if dry_run else published.offset,
        reason=published.detail,
        dry_run=dry_run,
    )
