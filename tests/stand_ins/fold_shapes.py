"""Hypothesis strategies of random records for the fold, by kind."""

from collections import abc
import typing

from hypothesis import strategies

from chervillead.fleet import records

ZONES = ("z0", "z1", "z2")
POOLS = ("p0", "p1", "p2")
HOSTS = ("h0", "h1", "h2", "h3", "h4", "h5")
TEAMS = ("t0", "t1")
ENTRY_HOSTS = ("e0", "e1", "e2")

ADDRESS = ["10.0.0.1", 80]


def _fields(**values: typing.Any) -> typing.Any:
    """Returns a strategy of field maps; a tuple draws one of its values."""
    return strategies.fixed_dictionaries(
        {name: _any_of(value) for name, value in values.items()}
    )


def _any_of(value: typing.Any) -> typing.Any:
    if isinstance(value, strategies.SearchStrategy):
        return value
    return strategies.sampled_from(
        value if isinstance(value, tuple) else (value,)
    )


_BUDGET = (-1, 0, 1, 2, 3, 4)
_DRAINS = ("granted", "drained", "returned", "failed")
_UNITS = strategies.dictionaries(_any_of(TEAMS), strategies.integers(0, 8))
# Subjects and fields by kind; many combinations violate a rule on purpose.
SHAPES: dict[str, tuple[typing.Any, typing.Any]] = {
    records.QUEUE: ("q", _fields(pool=POOLS)),
    records.KEY: ("k", _fields(team=(*TEAMS, "t9"))),
    records.TEAM: (TEAMS, _fields(share=1.0, limit=tuple(range(-1, 21)))),
    records.POOL: (
        POOLS,
        _fields(
            max_unavailable=_BUDGET,
            max_unavailable_racks=_BUDGET,
            max_unavailable_zones=_BUDGET,
        ),
    ),
    records.ZONE: (
        ZONES,
        _fields(index=(0, 1, 2), status=("in", "in", "out")),
    ),
    records.HOST: (
        HOSTS,
        _fields(pool=POOLS, zone=ZONES, rack=("r0", "r1"), address=(ADDRESS,)),
    ),
    records.DRAIN: (HOSTS, _fields(state=_DRAINS)),
    records.MOVE: (
        HOSTS,
        _fields(to_pool=POOLS, state=("leaving", "drained", "joined")),
    ),
    records.ROLLOUT: ("r", _fields(pool=POOLS, change="k")),
    records.SEAT: (
        tuple(f"{zone}/{number}" for zone in ZONES for number in (0, 1)),
        _fields(
            zone=ZONES, number=(0, 1), host=ENTRY_HOSTS, address=(ADDRESS,)
        ),
    ),
    records.TRANSFER: (
        ZONES,
        _fields(incarnation=tuple(range(40)), to_zone=ZONES, units=_UNITS),
    ),
    "nonsense": ("x", _fields(a=1)),
}

# State that follows each state; None stands for no drain or move.
NEXT_STATES: dict[str, dict[str | None, str]] = {
    records.DRAIN: {
        None: "granted",
        "granted": "drained",
        "drained": "failed",
        "failed": "returned",
        "returned": "granted",
    },
    records.MOVE: {
        None: "leaving",
        "leaving": "drained",
        "drained": "joined",
        "joined": "leaving",
    },
}

# Kinds to draw from. Drains and moves are repeated so that budgets are reached
# within a run; zones and teams, so that a zone is declared after a team.
_KINDS = (
    *SHAPES,
    records.DRAIN,
    records.DRAIN,
    records.MOVE,
    records.TRANSFER,
    records.TEAM,
    records.ZONE,
)


def draw_record(data: strategies.DataObject) -> tuple[str, str, typing.Any]:
    """Returns kind, subject and fields of a random record."""
    kind = data.draw(strategies.sampled_from(_KINDS))
    subjects, shapes = SHAPES[kind]
    return kind, data.draw(_any_of(subjects)), data.draw(shapes)


def first_records() -> abc.Iterator[tuple[str, str, dict[str, typing.Any]]]:
    """Yields kind, subject and fields of the records of a small fleet."""
    for index, zone in enumerate(ZONES[:2]):
        yield records.ZONE, zone, {"index": index}
    budget = {"max_unavailable": 2, "max_unavailable_zones": 2}
    for pool in POOLS[:2]:
        yield records.POOL, pool, budget
    for index, host in enumerate(HOSTS):
        place = {"zone": ZONES[index // 2 % 2], "rack": f"r{index // 4}"}
        pool = POOLS[index % 2]
        yield records.HOST, host, {**place, "pool": pool, "address": ADDRESS}
    for team in TEAMS:
        yield records.TEAM, team, {"share": 1.0, "limit": 7}
    for zone, host in zip(ZONES[:2], ENTRY_HOSTS, strict=False):
        holder = {"zone": zone, "number": 0, "host": host}
        yield records.SEAT, f"{zone}/0", {**holder, "address": ADDRESS}
