"""Reads request counts and configuration changes back from the log.

Records have no timestamps. The time of a change is inferred from the burn
records around it, which do have one; the entry hosts append them at different
offsets within each period.
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
    """An accepted change that may explain a high burn rate.

    Attributes:
        offset: Offset of its record.
        kind: Kind of the record: zone, drain, move or rollout.
        name: Name of the zone, host or rollout.
        description: Description of the change.
        from_spare_pool: Whether it takes a host from a spare pool.
        after_s: Earliest time of the change, in seconds since the epoch; None
            if unknown.
        before_s: Approximate latest time of the change, in seconds since the
            epoch; None if unknown.
    """

    offset: int
    kind: str
    name: str
    description: str
    from_spare_pool: bool
    after_s: int | None
    before_s: int | None


class History(typing.NamedTuple):
    """Counts and changes as far back as the log goes.

    Attributes:
        configuration: State at the end of the log.
        periods: Counted periods of the entry hosts, each once.
        events: Accepted changes, oldest first.
        oldest_offset: Lowest offset in the log.
    """

    configuration: configuration_module.Configuration
    periods: tuple[burn_rates.CountedPeriod, ...]
    events: tuple[Event, ...]
    oldest_offset: int


async def read_history(
    platform: log_client.PlatformClient,
) -> result.Result[History, str]:
    """Reads the whole log; returns its history, or why it can't be read."""
    return (await read_entries(platform)).map(build_history)


async def read_entries(
    platform: log_client.PlatformClient,
) -> result.Result[list[records.OffsetRecord], str]:
    """Returns all records in the log in order, or why it can't be read."""
    entries: list[records.OffsetRecord] = []
    offset, next_offset = 0, 1
    while offset < next_offset:
        page = await platform.read(offset, 0.0)
        if not pipeline.is_successful(page):
            return result.Failure(page.failure())
        log_page = page.unwrap()
        if not log_page.entries:
            break
        entries.extend(records.decode_entries(log_page.entries))
        offset, next_offset = (
            log_page.entries[-1].offset + 1,
            log_page.next_offset,
        )
    return result.Success(entries)


def build_history(entries: abc.Sequence[records.OffsetRecord]) -> History:
    """Returns the history of consecutive records of the log."""
    oldest = entries[0].offset if entries else 0
    state = _initial_state(entries)
    periods: dict[str, tuple[int, burn_rates.CountedPeriod]] = {}
    for entry in entries:
        record = entry.record
        if record is not None and record.kind == records.BURN:
            period = burn_records.decode_period(record).value_or(None)
            if period is not None:
                periods.setdefault(record.record_id, (entry.offset, period))
    burn_times = [
        (offset, period.until_s) for offset, period in periods.values()
    ]
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
                _build_event(step.result.offset, record, state, burn_times)
            )
        state = step.configuration
    return History(
        state,
        tuple(period for _, period in periods.values()),
        tuple(events),
        oldest,
    )


def _initial_state(
    entries: abc.Sequence[records.OffsetRecord],
) -> configuration_module.Configuration:
    """Returns the state from which the records in the log can be folded."""
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
    burn_times: abc.Sequence[tuple[int, int]],
) -> Event:
    earlier = [until_s for at, until_s in burn_times if at < offset]
    after_s = max(earlier, default=None)
    later = (
        until_s
        for at, until_s in burn_times
        if at > offset and (after_s is None or until_s >= after_s)
    )
    description, from_spare_pool = _describe_change(record, state)
    return Event(
        offset,
        record.kind,
        record.subject,
        description,
        from_spare_pool,
        after_s,
        min(later, default=None),
    )


def _describe_change(
    record: records.Record, state: configuration_module.Configuration
) -> tuple[str, bool]:
    """Returns a description of a change and whether it uses a spare pool."""
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
