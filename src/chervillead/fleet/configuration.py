"""Types of the configuration, the state that entry hosts fold from the log.

A configuration is immutable to its readers. The fold replaces the mappings
that a record changes; successive configurations share the others.
"""

from collections import abc
import enum
import typing

from chervillead import types


class ZoneStatus(enum.Enum):
    """Service status of a zone; no task starts in a zone that is out."""

    IN = "in"
    OUT = "out"


class DrainState(enum.Enum):
    """State of a host's drain for maintenance.

    Attributes:
        GRANTED: The host gets no new work; running tasks may finish.
        DRAINED: The host runs no task and may be taken down.
        RETURNED: Maintenance has ended and the host may get work again.
        FAILED: The host is known to be down.
    """

    GRANTED = "granted"
    DRAINED = "drained"
    RETURNED = "returned"
    FAILED = "failed"


class MoveState(enum.Enum):
    """State of a host's move to another pool.

    Attributes:
        LEAVING: The host gets no new work; running tasks may finish.
        DRAINED: The host runs no task.
        JOINED: The host belongs to the new pool; the move has ended.
    """

    LEAVING = "leaving"
    DRAINED = "drained"
    JOINED = "joined"


class Queue(typing.NamedTuple):
    """A queue of requests and its latency objective.

    Attributes:
        pool: Pool whose hosts serve the queue.
        open_to_all: Whether requests without an API key are accepted.
        target_part: Fraction of the requests, above 0 and at most 1, to be
            answered within `target_s`.
        target_s: Target latency in seconds.
        max_waiting: Capacity of the waiting list of each zone.
        refuse_keyed_after_unconfirmed_s: Requests with an API key are refused
            once the configuration has been unconfirmed for this many seconds;
            None never refuses them.
    """

    pool: str
    open_to_all: bool = False
    target_part: float = 0.99
    target_s: float = 5.0
    max_waiting: int = 1000
    refuse_keyed_after_unconfirmed_s: float | None = None


class Team(typing.NamedTuple):
    """Fair share and concurrency limit of a team.

    Attributes:
        share: Relative weight of the team when capacity is exhausted.
        limit: Maximum number of requests that run at a time in the whole fleet.
        zones: Zones among which the limit is divided: those declared when the
            team's first record was folded. Set by the fold.
    """

    share: float
    limit: int
    zones: tuple[str, ...] = ()


class Key(typing.NamedTuple):
    """An API key; the subject of its record is the hash of the key.

    Attributes:
        team: Team that the key authenticates.
        queues: Queues that the key gives access to; None means all.
        withdrawn: Whether the key is revoked.
    """

    team: str
    queues: tuple[str, ...] | None = None
    withdrawn: bool = False


class Pool(typing.NamedTuple):
    """A set of hosts and its availability budget.

    Attributes:
        max_unavailable: Maximum number of hosts that are unavailable at a time:
            those that drain, move to another pool, failed or are in a zone out
            of service.
        max_unavailable_racks: Maximum number of racks with draining hosts.
        max_unavailable_zones: Maximum number of zones with draining hosts.
        spare: Whether other pools may borrow hosts from this one.
    """

    max_unavailable: int = 1
    max_unavailable_racks: int = 1
    max_unavailable_zones: int = 1
    spare: bool = False


class Host(typing.NamedTuple):
    """A host that runs tasks.

    Attributes:
        pool: The one pool that the host belongs to.
        zone: Availability zone of the host.
        rack: Rack within the zone.
        address: Address of the host's HTTP service.
        slots: Number of requests that run on the host at a time.
        connections: Maximum number of connections to the host.
        size: Resources of the host.
    """

    pool: str
    zone: str
    rack: str
    address: types.Address
    slots: int = 8
    connections: int = 64
    size: types.Size = types.Size(32.0, 65536, 0)


class Zone(typing.NamedTuple):
    """An availability zone.

    Attributes:
        index: Unique number that selects the zones of request claims; it never
            changes.
        status: Whether the zone is in service.
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't used
    status: ZoneStatus = ZoneStatus.IN


class Seat(typing.NamedTuple):
    """The entry host that holds a numbered seat of a zone.

    The version of the seat's record is the incarnation of its holder.
    """

    zone: str
    number: int
    host: str
    address: types.Address


class Drain(typing.NamedTuple):
    """Maintenance of one host, and why it was requested."""

    state: DrainState
    reason: str = ""


class Move(typing.NamedTuple):
    """Move of one host to the pool `to_pool`."""

    to_pool: str
    state: MoveState


class Transfer(typing.NamedTuple):
    """Transfer of units of team limits from one zone to another.

    Attributes:
        incarnation: Incarnation of the source zone's leader seat. The fold
            refuses any other, so a dispatcher that lost its seat can't
            transfer units that its successor already grants.
        to_zone: Destination zone.
        units: Number of units by team.
    """

    incarnation: int
    to_zone: str
    units: abc.Mapping[str, int]


class Rollout(typing.NamedTuple):
    """Maintenance of all hosts of a pool, in waves.

    Attributes:
        pool: Pool whose hosts are maintained.
        change: Description of the change that the hosts get.
        stopped: Whether no further host is drained.
    """

    pool: str
    change: str
    stopped: bool = False


class PoolUse(typing.NamedTuple):
    """Index of a pool's hosts, maintained by the fold.

    It allows a budget check without a scan of all hosts of the fleet.

    Attributes:
        zone_hosts: Number of the pool's hosts by zone; zones without hosts
            have no entry.
        unavailable: Hosts of the pool whose drain has not returned or whose
            move has not joined.
    """

    zone_hosts: abc.Mapping[str, int] = {}
    unavailable: frozenset[str] = frozenset()


class Configuration(typing.NamedTuple):
    """State after folding the log up to an offset.

    The mappings not listed here hold the values of a kind by subject.

    Attributes:
        offset: Offset of the last folded record; -1 before the first.
        versions: Offset of the last accepted record by (kind, subject).
        recent_ids: Offset by record id; covers at least the last
            `fold.RECENT_IDS` records.
        moved_units: Net number of units of a team's limit transferred to a
            zone, by team and zone; zones with a net of 0 have no entry.
        pool_use: Index of hosts by pool, for budgets; pools without hosts have
            no entry.
    """

    offset: int = -1
    versions: abc.Mapping[tuple[str, str], int] = {}
    recent_ids: abc.Mapping[str, int] = {}
    queues: abc.Mapping[str, Queue] = {}
    teams: abc.Mapping[str, Team] = {}
    keys: abc.Mapping[str, Key] = {}
    pools: abc.Mapping[str, Pool] = {}
    hosts: abc.Mapping[str, Host] = {}
    zones: abc.Mapping[str, Zone] = {}
    seats: abc.Mapping[str, Seat] = {}
    drains: abc.Mapping[str, Drain] = {}
    moves: abc.Mapping[str, Move] = {}
    rollouts: abc.Mapping[str, Rollout] = {}
    moved_units: abc.Mapping[str, abc.Mapping[str, int]] = {}
    pool_use: abc.Mapping[str, PoolUse] = {}


EMPTY = Configuration()


def is_zone_in_service(configuration: Configuration, zone: str) -> bool:
    """Returns whether `zone` is in service; unknown zones are not."""
    entry = configuration.zones.get(zone)
    return entry is not None and entry.status is ZoneStatus.IN


def is_host_schedulable(configuration: Configuration, name: str) -> bool:
    """Returns whether new work may start on the host `name`.

    A host is not schedulable while it drains, has failed, moves to another
    pool, or is in a zone out of service. Unknown hosts are not schedulable.
    """
    host = configuration.hosts.get(name)
    if host is None or not is_zone_in_service(configuration, host.zone):
        return False
    drain = configuration.drains.get(name)
    if drain is not None and drain.state is not DrainState.RETURNED:
        return False
    move = configuration.moves.get(name)
    return move is None or move.state is MoveState.JOINED


def host_upstream(
    configuration: Configuration, name: str
) -> types.Upstream | None:
    """Returns name, zone and address of the host `name`; None if unknown."""
    host = configuration.hosts.get(name)
    if host is None:
        return None
    return types.Upstream(name, host.zone, host.address)
