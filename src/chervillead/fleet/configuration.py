"""The state that all entry hosts agree on: the result of folding the log.

Every value here is immutable from the outside. The fold replaces the mappings
that a batch of records changes and shares the others.
"""

from collections import abc
import enum
import typing

from chervillead import types


class ZoneStatus(enum.Enum):
    """Whether tasks may start in an availability zone."""

    IN = "in"
    OUT = "out"


class DrainState(enum.Enum):
    """Progress of a host through maintenance."""

    GRANTED = "granted"
    DRAINED = "drained"
    RETURNED = "returned"
    FAILED = "failed"


class MoveState(enum.Enum):
    """Progress of a host from one pool to another."""

    LEAVING = "leaving"
    DRAINED = "drained"
    JOINED = "joined"


class Queue(typing.NamedTuple):
    """A class of work and its target.

    Attributes:
        pool: Pool whose hosts serve the queue.
        open_to_all: Whether work is taken without a key.
        target_part: Part of the requests to be answered within `target_s`.
        target_s: Time of the target in seconds.
        max_waiting: Bound of each zone's waiting list.
        refuse_keyed_after_unconfirmed_s: Keyed work is refused once the
            configuration has been unconfirmed for this long; None never.
    """

    pool: str
    open_to_all: bool = False
    target_part: float = 0.99
    target_s: float = 5.0
    max_waiting: int = 1000
    refuse_keyed_after_unconfirmed_s: float | None = None


class Team(typing.NamedTuple):
    """Share when all is full, and upper limit of running requests.

    Attributes:
        share: Relative part of the capacity when all is full.
        limit: Most requests that may run at a time, across the fleet.
        zones: Zones among which the limit is divided: those declared when the
            team's first record was folded. The fold sets it.
    """

    share: float
    limit: int
    zones: tuple[str, ...] = ()


class Key(typing.NamedTuple):
    """A granted or withdrawn key; the subject is the key's hash.

    Attributes:
        team: Team that the key stands for.
        queues: Queues that it opens; None means all.
        withdrawn: Whether the key has stopped working.
    """

    team: str
    queues: tuple[str, ...] | None = None
    withdrawn: bool = False


class Pool(typing.NamedTuple):
    """A set of hosts and its availability budget.

    Attributes:
        max_unavailable: Hosts that may be unavailable at a time, counting
            drains, moves out, known failures and hosts in zones out.
        max_unavailable_racks: Racks that may have unavailable hosts because of
            drains at a time.
        max_unavailable_zones: Zones that may have unavailable hosts because of
            drains at a time.
        spare: Whether hosts may be borrowed from it as a buffer.
    """

    max_unavailable: int = 1
    max_unavailable_racks: int = 1
    max_unavailable_zones: int = 1
    spare: bool = False


class Host(typing.NamedTuple):
    """A worker: where it stands, what it offers and its one pool."""

    pool: str
    zone: str
    rack: str
    address: types.Address
    slots: int = 8
    connections: int = 64
    size: types.Size = types.Size(32.0, 65536, 0)


class Zone(typing.NamedTuple):
    """An availability zone; `index` picks claim zones and never changes."""

    index: int  # type: ignore[assignment]  # tuple.index isn't used
    status: ZoneStatus = ZoneStatus.IN


class Seat(typing.NamedTuple):
    """Holder of a numbered seat of a zone; its version is its incarnation."""

    zone: str
    number: int
    host: str
    address: types.Address


class Drain(typing.NamedTuple):
    """Maintenance of one host."""

    state: DrainState
    reason: str = ""


class Move(typing.NamedTuple):
    """Move of one host to another pool."""

    to_pool: str
    state: MoveState


class Transfer(typing.NamedTuple):
    """Units of team limits that one zone gives to another.

    Attributes:
        incarnation: Incarnation of the giving zone's duty seat. The fold
            refuses another one, so a dispatcher that lost its seat can't give
            units that its successor already grants.
        to_zone: Zone that gets the units.
        units: Units by team.
    """

    incarnation: int
    to_zone: str
    units: abc.Mapping[str, int]


class Rollout(typing.NamedTuple):
    """Maintenance of all hosts of a pool, in waves."""

    pool: str
    change: str
    stopped: bool = False


class PoolUse(typing.NamedTuple):
    """Index of a pool's hosts, kept by the fold.

    It lets a budget be checked without a look at all hosts of the fleet.

    Attributes:
        zone_hosts: Number of the pool's hosts by zone; no zone has 0.
        unavailable: Hosts of the pool with a drain that did not return or a
            move in progress.
    """

    zone_hosts: abc.Mapping[str, int] = {}
    unavailable: frozenset[str] = frozenset()


class Configuration(typing.NamedTuple):
    """The folded state.

    Attributes:
        offset: Offset of the last folded record; -1 before the first.
        versions: Offset of the last accepted record by (kind, subject).
        recent_ids: Offset by record id, of at least the fold's window.
        moved_units: Units of a team's limit that a zone has received less those
            that it gave, by team and zone; no entry is 0.
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
    """Returns whether tasks may start in `zone`; unknown zones are out."""
    entry = configuration.zones.get(zone)
    return entry is not None and entry.status is ZoneStatus.IN


def is_host_schedulable(configuration: Configuration, name: str) -> bool:
    """Returns whether new work may start on the host `name`.

    A host that drains or leaves its pool gets none, nor does one in a zone
    that operators took out.
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
    """Returns where the host `name` is called; None if it isn't known."""
    host = configuration.hosts.get(name)
    if host is None:
        return None
    return types.Upstream(name, host.zone, host.address)
