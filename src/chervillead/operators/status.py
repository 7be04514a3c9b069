"""Status of the fleet as seen by one entry host, as a JSON document.

Only the dispatcher of a zone knows its waiting requests and its units in use;
heartbeats report only free slots. So `waiting`, `units` and `running` cover
the zone of the answering host, and are null if that isn't the dispatcher.
"""

from collections import abc
import math
import typing

from chervillead.entries import escrow
from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_pages

# Free slots of a zone without a live dispatcher.
_NO_FREE_SLOTS: abc.Mapping[str, int] = {}


class EntryHostStatus(typing.TypedDict):
    """One entry host.

    `silent_s` is null if the host was never heard; `offset` and `log_age_s` are
    null without a heartbeat.
    """

    host: str
    zone: str
    seats: list[str]
    live: bool
    leaving: bool
    silent_s: float | None
    offset: int | None
    log_age_s: float | None


class ZoneStatus(typing.TypedDict):
    """One availability zone; `dispatcher` is null if it has none."""

    zone: str
    index: int
    status: str
    dispatcher: str | None


class QueueStatus(typing.TypedDict):
    """One queue; zones without a live dispatcher have no free slots listed."""

    queue: str
    pool: str
    target_part: float
    target_s: float
    free: int
    free_by_zone: dict[str, int]
    waiting: int | None


class TeamStatus(typing.TypedDict):
    """One team; `units`, `running` and `waiting` are of one zone."""

    team: str
    share: float
    limit: int
    units: int | None
    running: int | None
    waiting: int | None


class MaintenanceStatus(typing.TypedDict):
    """An unfinished drain, move or rollout."""

    kind: str
    name: str
    state: str
    detail: str


class AlarmStatus(typing.TypedDict):
    """A fault that needs attention from operators."""

    alarm: str
    detail: str


class Status(typing.TypedDict):
    """The status document.

    `age_s` is the age of the configuration, null before it was confirmed once.
    """

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
    """State of the answering host beyond the configuration.

    Attributes:
        host: Name of the host.
        zone: Zone of the host.
        unconfirmed_s: Age of its configuration in seconds; inf if it was never
            confirmed.
        alarms: Faults of the log.
        live: Live entry hosts, including the host itself.
        silent_s: Returns the seconds since the last heartbeat of a host; inf if
            there was none.
        heartbeat_of: Returns the last heartbeat of a host, also its own.
        waiting: Waiting requests of its dispatcher, by queue.
        team_demands: Units and running and waiting requests of its dispatcher,
            by team.
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
    """Returns the status document of a host.

    Args:
        configuration: Folded configuration of the host.
        view: State of the host beyond the configuration.
    """
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
    """Yields this host and all hosts that hold seats, by name."""
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
    """Returns the free slots by queue from the live dispatcher of `zone`."""
    leader = seats.zone_leader(configuration, zone)
    if leader is None or leader not in view.live:
        return _NO_FREE_SLOTS
    heartbeat = view.heartbeat_of(leader)
    return _NO_FREE_SLOTS if heartbeat is None else heartbeat.free_slots


def _teams(
    configuration: configuration_module.Configuration,
    view: HostView,
    is_dispatcher: bool,
) -> abc.Iterator[TeamStatus]:
    for name, team in sorted(configuration.teams.items()):
        demand = view.team_demands.get(name) if is_dispatcher else None
        yield TeamStatus(
            team=name,
            share=team.share,
            limit=team.limit,
            units=None if demand is None else demand.units,
            running=None if demand is None else demand.running,
            waiting=None if demand is None else demand.waiting,
        )


def _maintenance(
    configuration: configuration_module.Configuration,
) -> abc.Iterator[MaintenanceStatus]:
    """Yields the unfinished drains, moves and rollouts."""
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
