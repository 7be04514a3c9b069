"""Slopes of the memory of claims, grants and requests that wait."""

from collections import abc
import gc

from benchmarks.slopes import dispatch
from benchmarks.slopes import line
from chervillead import types
from chervillead.entries import claims
from chervillead.entries import dispatcher
from chervillead.entries import grant_waiters
from chervillead.entries import messages
from stand_ins import dispatch_zones

COUNTS = (1_000, 4_000, 16_000)
ZONE_SLOTS = line.HOSTS // line.ZONES * 8


def _claim_table(count: int) -> claims.ClaimTable:
    table = claims.ClaimTable(dispatch.CLOCK)
    for number in range(count):
        table.claim(
            messages.Claim(
                f"01939c3e-7a3b-7cc2-9b1d-{number:012x}",
                2**63 + number,
                f"entry-{number % 9}",
                f"team-{number % line.TEAMS}",
            )
        )
    return table


def _pending_requests(count: int) -> grant_waiters.GrantWaiters:
    waiters = grant_waiters.GrantWaiters(
        dispatch.CLOCK, lambda host, message: None
    )
    for number in range(count):
        request = types.Request(
            f"01939c3e-7a3b-7cc2-9b1d-{number:012x}",
            "queue-0",
            "team-0",
            bytes(1024),
            "text/plain",
            types.Size(),
            dispatch.CLOCK.monotonic() + 600,
            False,
        )
        waiters.open(request)
    return waiters


def _with_requests(count: int, *, hosts: int) -> dispatcher.Dispatcher:
    """Returns a dispatcher that got requests; without hosts free, all wait."""
    part = dispatch.fleet_dispatcher(hosts)
    size = types.Size(1.0, 1024, 0)
    for number in range(count):
        register = dispatch.numbered_register(number)._replace(size=size)
        part.register("entry-x", register)
    return part


def _beyond(build: abc.Callable[[int], object], count: int) -> float:
    """Returns the megabytes that `count` things add to an empty state."""
    gc.collect()
    return line.memory_mb(lambda: build(count)) - line.memory_mb(
        lambda: build(0)
    )


def measure_memory() -> abc.Iterator[line.Slope]:
    """Yields the memory of claims, grants and requests that wait."""
    for name, build, design in (
        ("claims", _claim_table, claims.MAX_CLAIMS),
        (
            "held grants",
            lambda count: _with_requests(count, hosts=line.HOSTS),
            ZONE_SLOTS,
        ),
        ("waiting at an entry host", _pending_requests, 16_000),
    ):
        sizes = COUNTS if name != "held grants" else (1_000, 4_000, 12_000)
        yield line.Slope(
            f"memory: {name}",
            name,
            "MB",
            line.measure_points(sizes, lambda n, b=build: _beyond(b, n)),
            design,
            line.MAX_MEMORY_MB,
        )
    yield line.Slope(
        "memory: waiting list of a dispatcher",
        "requests",
        "MB",
        line.measure_points(COUNTS, lambda n: _beyond(_waiting_part, n)),
        line.POOLS * 1_000,
        line.MAX_MEMORY_MB,
    )


def _waiting_part(count: int) -> dispatcher.Dispatcher:
    """Returns a dispatcher without units, at which `count` requests wait."""
    configuration = dispatch_zones.make_configuration(
        teams={"a": (1.0, 1)}, max_waiting=10**6
    )
    part = dispatcher.Dispatcher(
        host="entry-z0",
        zone="z0",
        configuration=lambda: configuration,
        clock=dispatch.CLOCK,
        notify=lambda host, message: None,
    )
    part.register("entry-x", dispatch_zones.register("first"))
    for number in range(count):
        name = f"01939c3e-7a3b-7cc2-9b1d-{number:012x}/1"
        part.register("entry-x", dispatch_zones.register(name))
    if len(part.waiting) != count:
        raise ValueError(f"{len(part.waiting)} of {count} requests wait")
    return part
