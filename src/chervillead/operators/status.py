"""The fleet as one entry host sees it, as a JSON document.

Only the dispatcher of a zone knows its waiting requests and its units in use,
and the heartbeats tell free slots alone. So `waiting`, `units` and `running`
are those of the answering host's zone, and null if it isn't the dispatcher.
"""

from collections import abc
import math
import typing

from chervillead.entries import escrow
from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_pages

# `free_by_zone` and the dispatcher's numbers of a host without that duty.
_EMPTY_COUNTS: abc.Mapping[str, int] = {}


class EntryHostStatus(typing.TypedDict):
    """One entry host; the times are null if it was never heard."""

    host: str
    zone: str
    seats: list[str]
    live: bool
    leaving: bool
    silent_s: float | None
    offset: int | None
    log_age_s: float | None


class ZoneStatus(typing.TypedDict):
    """One availability zone."""

    zone: str
    index: int
    status: str
    dispatcher: str | None


class QueueStatus(typing.TypedDict):
    """One queue; free slots by zone as far as its dispatcher is live."""

    queue: str
    pool: str
    target_part: float
    target_s: float
    free: int
    free_by_zone: dict[str, int]
    waiting: int | None


class TeamStatus(typing.TypedDict):
    """One team."""

    team: str
    share: float
    limit: int
    units: int | None
    running: int | None
    waiting: int | None


class MaintenanceStatus(typing.TypedDict):
    """A drain, move or roll-out that isn't over."""

    kind: str
    name: str
    state: str
    detail: str


class AlarmStatus(typing.TypedDict):
    """A fault that people must look at."""

    alarm: str
    detail: str


class Status(typing.TypedDict):
    """The whole document; `age_s` is null before the log was read once."""

    host: str
    zone: str
    is_dispatcher: bool
    offset: int
    age_s: float | None
    entry_hosts: list[EntryHostStatus]
    zones: list[ZoneStatus]
    queues: list[QueueStatus]
    teams: list[TeamStatus]
    maintenance: list[MaintenanceStatus]
    alarms: list[AlarmStatus]


class HostView(typing.NamedTuple):
    """What the answering host knows beyond the configuration.

    Attributes:
        host: Its name.
        zone: Its zone.
        unconfirmed_s: Age of its configuration; inf if never confirmed.
        alarms: Faults of the log.
        live: Entry hosts heard of late, itself included.
        silent_s: How long a host has been silent; inf if never heard.
        heartbeat_of: Last heartbeat of a host, its own included.
        waiting: Waiting requests of its dispatcher by queue.
        team_demands: Units, running and waiting of its dispatcher by team.
    """

    host: str
    zone: str
    unconfirmed_s: float
    alarms: abc.Sequence[log_pages.Alarm]
    live: abc.Container[str]
    silent_s: abc.Callable[[str], float]
    heartbeat_of: abc.Callable[[str], messages.Heartbeat | None]
    waiting: abc.Mapping[str, int]
    team_demands: abc.Mapping[str, escrow.TeamDemand]


def build_status(
    configuration: configuration_module.Configuration, view: HostView
) -> Status:
    """Returns the status document of the host that `view` describes."""
    is_dispatcher = seats.zone_leader(configuration, view.zone) == view.host
    return Status(
        host=view.host,
        zone=view.zone,
        is_dispatcher=is_dispatcher,
        offset=configuration.offset,
        age_s=_finite(view.unconfirmed_s),
        entry_hosts=list(_entry_hosts(configuration, view)),
        zones=[
            ZoneStatus(
                zone=name,
                index=zone.index,
                status=zone.status.value,
                dispatcher=seats.zone_leader(configuration, name),
            )
            for name, zone in sorted(
                configuration.zones.items(), key=lambda item: item[1].index
            )
        ],
        queues=list(_queues(configuration, view, is_dispatcher)),
        teams=list(_teams(configuration, view, is_dispatcher)),
        maintenance=list(_maintenance(configuration)),
        alarms=[
            AlarmStatus(alarm=alarm.name, detail=alarm.detail)
            for alarm in view.alarms
        ],
    )


def _entry_hosts(
    configuration: configuration_module.Configuration, view: HostView
) -> abc.Iterator[EntryHostStatus]:
    """Yields this host and all that hold seats, by name."""
    held: dict[str, list[str]] = {view.host: []}
    zones = {view.host: view.zone}
    for subject, seat in sorted(configuration.seats.items()):
        held.setdefault(seat.host, []).append(subject)
        zones[seat.host] = seat.zone
    for host in sorted(held):
        heartbeat = view.heartbeat_of(host)
        age_ms = -1 if heartbeat is None else heartbeat.log_age_ms
        yield EntryHostStatus(
            host=host,
            zone=zones[host],
            seats=held[host],
            live=host in view.live,
            leaving=heartbeat is not None and heartbeat.leaving,
            silent_s=_finite(view.silent_s(host)),
            offset=None if heartbeat is None else heartbeat.offset,
            log_age_s=None if age_ms < 0 else age_ms / 1000,
        )


def _queues(
    configuration: configuration_module.Configuration,
    view: HostView,
    is_dispatcher: bool,
) -> abc.Iterator[QueueStatus]:
    free = {
        zone: _free_slots(configuration, view, zone)
        for zone in sorted(configuration.zones)
    }
    for name, queue in sorted(configuration.queues.items()):
        by_zone = {
            zone: slots[name] for zone, slots in free.items() if name in slots
        }
        yield QueueStatus(
            queue=name,
            pool=queue.pool,
            target_part=queue.target_part,
            target_s=queue.target_s,
            free=sum(by_zone.values()),
            free_by_zone=by_zone,
            waiting=view.waiting.get(name, 0) if is_dispatcher else None,
        )


def _free_slots(
    configuration: configuration_module.Configuration,
    view: HostView,
    zone: str,
) -> abc.Mapping[str, int]:
    """Returns what the live dispatcher of `zone` reported, by queue."""
    holder = seats.zone_leader(configuration, zone)
    if holder is None or holder not in view.live:
        return _EMPTY_COUNTS
    heartbeat = view.heartbeat_of(holder)
    return _EMPTY_COUNTS if heartbeat is None else heartbeat.free_slots


def _teams(
    configuration: configuration_module.Configuration,
    view: HostView,
    is_dispatcher: bool,
) -> abc.Iterator[TeamStatus]:
    for name, team in sorted(configuration.teams.items()):
        need = view.team_demands.get(name) if is_dispatcher else None
        yield TeamStatus(
            team=name,
            share=team.share,
            limit=team.limit,
            units=None if need is None else need.units,
            running=None if need is None else need.running,
            waiting=None if need is None else need.waiting,
        )


def _maintenance(
    configuration: configuration_module.Configuration,
) -> abc.Iterator[MaintenanceStatus]:
    """Yields drains, moves and roll-outs that aren't over."""
    for name, drain in sorted(configuration.drains.items()):
        if drain.state is not configuration_module.DrainState.RETURNED:
            yield MaintenanceStatus(
                kind="drain",
                name=name,
                state=drain.state.value,
                detail=drain.reason,
            )
    for name, move in sorted(configuration.moves.items()):
        if move.state is not configuration_module.MoveState.JOINED:
            yield MaintenanceStatus(
                kind="move",
                name=name,
                state=move.state.value,
                detail=f"to pool {move.to_pool}",
            )
    for name, rollout in sorted(configuration.rollouts.items()):
        yield MaintenanceStatus(
            kind="rollout",
            name=name,
            state="stopped" if rollout.stopped else "started",
            detail=f"pool {rollout.pool}: {rollout.change}",
        )


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
