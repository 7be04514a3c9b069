"""How fast units of a limit follow demand, and how many are stranded.

The real fold, dispatchers and escrows of three zones take one step a second.
"""

from collections import abc

from benchmarks import figures
from stand_ins import escrow_machine

LIMIT = 36
DEMAND = 60

# An idle zone gives at once; one that was busy keeps its units for the samples
# of hysteresis first. Within a few seconds means 5 s; the samples come on top.
IDLE_BOUND_S = 5
BUSY_BOUND_S = 9


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields seconds until units follow, and the units stranded."""
    zones = escrow_machine.UnitsMachine()
    zones.set_limit(LIMIT)
    zones.settle()
    # Each zone without demand keeps one unit in reserve.
    reserve = len(escrow_machine.ZONES) - 1
    seconds, stranded = follow(zones, "z0", LIMIT - reserve)
    yield _at_most("escrow: s until idle units follow", seconds, IDLE_BOUND_S)
    yield _at_most("escrow: units stranded", stranded, reserve)
    part = LIMIT // len(escrow_machine.ZONES)
    yield figures.BenchmarkResult(
        "escrow: units stranded without transfers", LIMIT - part, "-", True
    )
    end_work(zones, "z0")
    seconds, stranded = follow(zones, "z2", LIMIT - reserve)
    yield _at_most("escrow: s until busy units follow", seconds, BUSY_BOUND_S)
    end_work(zones, "z2")
    held = zones.leaders["z2"].dispatcher.team_demands()[escrow_machine.TEAM]
    wanted = LIMIT - held.units - 1
    seconds, stranded = follow(zones, "z0", wanted, cut=("z2",))
    yield _at_most(
        "escrow: units stranded while their zone is cut",
        stranded,
        held.units + 1,
    )
    seconds, stranded = follow(zones, "z0", LIMIT - reserve)
    yield _at_most("escrow: s after the zone is back", seconds, BUSY_BOUND_S)


def follow(
    zones: escrow_machine.UnitsMachine,
    zone: str,
    wanted: int,
    cut: abc.Container[str] = (),
) -> tuple[int, int]:
    """Returns seconds until `zone` runs `wanted`, and the units unused."""
    zones.register(zone, DEMAND)
    seconds = 0
    while zones.leaders[zone].running < wanted and seconds < 60:
        seconds += 1
        for name in escrow_machine.ZONES:
            if name not in cut:
                zones.transfer(name, "arrives")
        for name in escrow_machine.ZONES:
            if name not in cut:
                zones.read_log(name, 99)
    return seconds, LIMIT - zones.leaders[zone].running


def end_work(zones: escrow_machine.UnitsMachine, zone: str) -> None:
    """Ends all work of a zone."""
    zones.cancel_waiting(zone)
    zones.finish(zone, DEMAND)


def _at_most(name: str, value: int, bound: int) -> figures.BenchmarkResult:
    return figures.BenchmarkResult(
        name, float(value), f"<= {bound}", value <= bound
    )
