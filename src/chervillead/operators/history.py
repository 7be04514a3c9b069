"""What the log still holds of the past: counts and maintenance.

Records carry no time. They are placed between the burn records around them,
which do, and which the entry hosts append at different times of each period.
"""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import burn_rates
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import records
from chervillead.fleet import snapshots
from chervillead.operators import burn_records

EVENT_KINDS = frozenset(
    (records.ZONE, records.DRAIN, records.MOVE, records.ROLLOUT)
)


class Event(typing.NamedTuple):
    """An accepted change that can explain a burn.

    Attributes:
        offset: Offset of its record.
        kind: zone, drain, move or rollout.
        name: Zone, host or roll-out.
        what: What happened.
        buffer: Whether it takes a host from a spare pool.
        after_s: It happened after this time; None if that isn't known.
        before_s: It happened at about this time at the latest, or None.
    """

    offset: int
    kind: str
    name: str
    description: str
    from_spare_pool: bool
    after_s: int | None
    before_s: int | None


class History(typing.NamedTuple):
    """The past as far as the log goes back.

    Attributes:
        configuration: State at the end of the log.
        periods: Counts of the entry hosts, each once.
        events: Accepted changes, oldest first.
        oldest: Lowest offset that the log keeps.
    """

    configuration: configuration_module.Configuration
    periods: tuple[burn_rates.CountedPeriod, ...]
    events: tuple[Event, ...]
    oldest_offset: int


async def read_history(
    platform: log_client.PlatformClient,
) -> result.Result[History, str]:
    """Reads the whole log; returns what it tells of the past."""
    return (await read_entries(platform)).map(build_history)


async def read_entries(
    platform: log_client.PlatformClient,
) -> result.Result[list[records.OffsetRecord], str]:
    """Returns all that the log holds, in order."""
    entries: list[records.OffsetRecord] = []
    offset, end = 0, 1
    while offset < end:
        page = await platform.read(offset, 0.0)
        if not pipeline.is_successful(page):
            return result.Failure(page.failure())
        found = page.unwrap()
        if not found.entries:
            break
        entries.extend(records.decode_entries(found.entries))
        offset, end = found.entries[-1].offset + 1, found.next_offset
    return result.Success(entries)


def build_history(entries: abc.Sequence[records.OffsetRecord]) -> History:
    """Returns the past that consecutive records tell."""
    oldest = entries[0].offset if entries else 0
    state = _initial_state(entries)
    parts: dict[str, tuple[int, burn_rates.CountedPeriod]] = {}
    for entry in entries:
        record = entry.record
        if record is not None and record.kind == records.BURN:
            part = burn_records.decode_period(record).value_or(None)
            if part is not None:
                parts.setdefault(record.record_id, (entry.offset, part))
    times = [(offset, part.until_s) for offset, part in parts.values()]
    events: list[Event] = []
    by_offset = {entry.offset: entry.record for entry in entries}
    for step in fold.fold_records(state, entries):
        record = by_offset[step.result.offset]
        if (
            record is not None
            and record.kind in EVENT_KINDS
            and step.result.outcome is fold.Outcome.ACCEPTED
        ):
            events.append(
                _build_event(step.result.offset, record, state, times)
            )
        state = step.configuration
    return History(
        state,
        tuple(part for _, part in parts.values()),
        tuple(events),
        oldest,
    )


def _initial_state(
    entries: abc.Sequence[records.OffsetRecord],
) -> configuration_module.Configuration:
    """Returns the state from which the kept records can be folded."""
    if not entries or entries[0].offset == 0:
        return configuration_module.EMPTY
    for entry in entries:
        if entry.record is None or entry.record.kind != records.SNAPSHOT:
            continue
        state = snapshots.read_snapshot(entry.record).value_or(None)
        if state is not None and state.offset + 1 >= entries[0].offset:
            return state
    return configuration_module.EMPTY._replace(offset=entries[-1].offset)


def _build_event(
    offset: int,
    record: records.Record,
    state: configuration_module.Configuration,
    times: abc.Sequence[tuple[int, int]],
) -> Event:
    before = [until_s for at, until_s in times if at < offset]
    after_s = max(before, default=None)
    later = (
        until_s
        for at, until_s in times
        if at > offset and (after_s is None or until_s >= after_s)
    )
    what, buffer = _describe_change(record, state)
    return Event(
        offset,
        record.kind,
        record.subject,
        what,
        buffer,
        after_s,
        min(later, default=None),
    )


def _describe_change(
    record: records.Record, state: configuration_module.Configuration
) -> tuple[str, bool]:
    """Returns what a record does, and whether it draws on the buffer."""
    fields = record.fields
    if not fields:
        return "removed", False
    if record.kind == records.ZONE:
        return f"zone {fields.get('status', 'in')}", False
    if record.kind == records.DRAIN:
        reason = fields.get("reason")
        return f"{fields['state']}" + (f": {reason}" if reason else ""), False
    if record.kind == records.ROLLOUT:
        word = "stopped" if fields.get("stopped") else "started"
        return f"{word} on {fields['pool']}: {fields['change']}", False
    host = state.hosts.get(record.subject)
    from_pool = "?" if host is None else host.pool
    pool = state.pools.get(from_pool)
    leaving = fields["state"] == configuration_module.MoveState.LEAVING.value
    return (
        f"{fields['state']}, from {from_pool} to {fields['to_pool']}",
        leaving and pool is not None and pool.spare,
    )
