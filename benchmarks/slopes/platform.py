"""Slopes of the fold, the snapshots, the spread and the index of hosts."""

from collections import abc
import random
import uuid

from benchmarks import configuration_spread
from benchmarks import fold as fold_benchmark
from benchmarks.slopes import line
from chervillead.entries import capacity
from chervillead.entries import codec
from chervillead.entries import leadership
from chervillead.entries import messages
from chervillead.entries import transfers
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import persistent_map
from chervillead.fleet import records
from chervillead.fleet import snapshots
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time

SIZES = (1_000, 4_000, 16_000)
READERS = (9, 50, 200)
ENTRY_HOSTS_A_ZONE = 22
BURN_PERIOD_S = 300
SPREAD_TARGET_S = 11.0
MAINTAINED_A_DAY = 762
# Nothing states how long a host's maintenance takes.
MAINTENANCE_S = 3600.0


def worn_state(size: int) -> configuration_module.Configuration:
    """Returns a fleet's state after every host was maintained once.

    The ids of recent records are random: they don't compress.
    """
    state = fold_benchmark.fleet_state(size)
    chooser = random.Random(size)
    offset = state.offset + 3 * size
    drain = configuration_module.Drain(
        configuration_module.DrainState.RETURNED, "kernel"
    )
    recent = {
        str(uuid.UUID(int=chooser.getrandbits(128), version=4)): offset - number
        for number in range(fold.RECENT_IDS)
    }
    versions = {(records.DRAIN, name): offset for name in state.hosts}
    return state._replace(
        offset=offset,
        drains=persistent_map.PersistentMap(dict.fromkeys(state.hosts, drain)),
        versions=persistent_map.PersistentMap({**state.versions, **versions}),
        recent_ids=persistent_map.PersistentMap(recent),
    )


def measure_fold() -> abc.Iterator[line.Slope]:
    """Yields the processor time of folding changes, and of transfers."""
    costs = line.measure_points(
        SIZES, lambda size: fold_benchmark.cost_s(worn_state(size))
    )
    for name, per_s in (
        ("fold of 18,000 changes a day", line.CHANGES_A_DAY / line.DAY_S),
        ("fold of 9 transfers a second", float(line.ZONES)),
    ):
        points = tuple((size, cost * per_s * 100) for size, cost in costs)
        yield line.Slope(
            name, "hosts", "% core", points, line.HOSTS, line.MAX_CORE_PERCENT
        )
    yield line.Slope(
        "fold: time of one record",
        "hosts",
        "us",
        tuple((size, cost * 1e6) for size, cost in costs),
        line.HOSTS,
    )
    yield line.Slope(
        "fold: memory of the state",
        "hosts",
        "MB",
        line.measure_points(
            SIZES, lambda size: line.memory_mb(lambda: worn_state(size))
        ),
        line.HOSTS,
        line.MAX_MEMORY_MB,
    )


def measure_snapshots() -> abc.Iterator[line.Slope]:
    """Yields the size of a snapshot's frame, and the time it takes."""
    states = {size: worn_state(size) for size in SIZES}
    encoded = {s: snapshots.encode_configuration(states[s]) for s in SIZES}

    def frame_mb(size: int) -> float:
        message = messages.ConfigSnapshot(states[size].offset, encoded[size])
        return len(codec.encode_frame(codec.Frame(1, 1, message))) / 1e6

    def encode_ms(size: int) -> float:
        return 1000 * line.processor_s(
            lambda: snapshots.encode_configuration(states[size]), 1
        )

    def decode_ms(size: int) -> float:
        return 1000 * line.processor_s(
            lambda: snapshots.decode_configuration(encoded[size]), 1
        )

    yield line.Slope(
        "snapshot: frame",
        "hosts",
        "MB",
        line.measure_points(SIZES, frame_mb),
        line.HOSTS,
        codec.MAX_FRAME_BYTES / 1e6,
    )
    # A longer turn of the event loop counts as a pause of the leader.
    for name, figure in (("encode", encode_ms), ("decode", decode_ms)):
        yield line.Slope(
            f"snapshot: {name}",
            "hosts",
            "ms",
            line.measure_points(SIZES, figure),
            line.HOSTS,
            leadership.PAUSE_THRESHOLD_S * 1000,
        )


def measure_index() -> abc.Iterator[line.Slope]:
    """Yields the cost of the dispatcher's index of hosts."""

    def index_s(size: int) -> float:
        index = capacity.ZoneCapacity("zone-0", lambda name, host: host.slots)
        state = worn_state(size)
        return line.processor_s(lambda: index.index_hosts(state), 3)

    costs = line.measure_points(SIZES, index_s)
    yield line.Slope(
        "index: rebuild",
        "hosts",
        "ms",
        tuple((size, cost * 1000) for size, cost in costs),
        line.HOSTS,
    )
    per_s = line.CHANGES_A_DAY / line.DAY_S
    yield line.Slope(
        "index: rebuilds at 18,000 changes a day",
        "hosts",
        "% core",
        tuple((size, cost * per_s * 100) for size, cost in costs),
        line.HOSTS,
        line.MAX_CORE_PERCENT,
    )


def measure_spread() -> abc.Iterator[line.Slope]:
    """Yields the slowest arrival of a change, in virtual time."""

    def slowest_s(readers: int) -> float:
        delays_s: list[float] = virtual_time.run_virtual(
            configuration_spread.spread(readers), configuration_spread.SEED
        )
        # A change that never arrived makes the figure infinite.
        whole = len(delays_s) == readers * configuration_spread.CHANGES
        return max(delays_s) if whole else float("inf")

    yield line.Slope(
        "spread: slowest change, virtual time",
        "readers",
        "s",
        line.measure_points(READERS, slowest_s),
        READERS[-1],
        SPREAD_TARGET_S,
    )


def measure_maintenance() -> abc.Iterator[line.Slope]:
    """Yields the hosts a day that the fold lets 36 pools maintain."""
    state = fold_benchmark.fleet_state(line.HOSTS)

    def granted(budget: int) -> int:
        limited = state._replace(
            pools={
                name: pool._replace(max_unavailable=budget)
                for name, pool in state.pools.items()
            }
        )
        proposals = (
            records.OffsetRecord(
                state.offset + number,
                records.Record(
                    f"drain-{name}",
                    records.DRAIN,
                    name,
                    records.NO_VERSION,
                    {"state": "granted"},
                ),
            )
            for number, name in enumerate(state.hosts, 1)
        )
        steps = fold.fold_records(limited, proposals)
        return sum(
            step.result.outcome is fold.Outcome.ACCEPTED for step in steps
        )

    yield line.Slope(
        "maintenance: hosts a day, one hour each",
        "hosts out a pool",
        "hosts",
        line.measure_points(
            (1, 2, 4),
            lambda budget: granted(budget) * line.DAY_S / MAINTENANCE_S,
        ),
        1,
        MAINTAINED_A_DAY,
        at_least=True,
    )


def measure_appends() -> abc.Iterator[line.Slope]:
    """Yields the appends a second against the log's limit."""

    def per_s(zones: int) -> float:
        # Each entry host appends one burn record in a period.
        burn_records = zones * ENTRY_HOSTS_A_ZONE / BURN_PERIOD_S
        changes = line.CHANGES_A_DAY / line.DAY_S
        return zones / transfers.TRANSFER_INTERVAL_S + burn_records + changes

    yield line.Slope(
        "log: appends, all zones transfer each second",
        "zones",
        "1/s",
        line.measure_points((3, 6, 9), per_s),
        line.ZONES,
        platform_stand_in.MAX_APPENDS_PER_S,
    )
