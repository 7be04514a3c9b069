"""Cost of a registration against waiting requests and hosts."""

from collections import abc
import time

from benchmarks import figures
from chervillead import types
from chervillead.entries import messages
from stand_ins import dispatch_zones

REGISTERS = 2000
SIZES = (1, 4, 16)

# A registration that looked at each host or waiting request would cost sixteen
# times as much at the largest size; the rest of the room is for caches.
MAX_GROWTH = 3.0


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields the growth of a registration's cost over three sizes."""
    for name, cost in (
        ("waiting requests", lambda size: register_cost(1, 1000 * size)),
        ("hosts", lambda size: register_cost(125 * size, 0)),
        ("withdrawals", lambda size: withdraw_cost(1000 * size)),
    ):
        costs = [min(cost(size) for _ in range(3)) for size in SIZES]
        for size, seconds in zip(SIZES[1:], costs[1:], strict=True):
            growth = seconds / costs[0]
            yield figures.BenchmarkResult(
                f"dispatcher: cost at {size} times the {name}",
                growth,
                f"<= {MAX_GROWTH}",
                growth <= MAX_GROWTH,
            )


def _zones(hosts: int) -> dispatch_zones.MemoryZones:
    return dispatch_zones.MemoryZones(
        dispatch_zones.make_configuration(
            hosts=hosts, slots=8, max_waiting=10**6
        ),
        clock=types.Clock(lambda: 100.0, lambda: 100.0),
    )


def register_cost(hosts: int, waiting: int) -> float:
    """Returns the seconds of one registration and its release or withdrawal.

    With a waiting list the registration waits, without one it is granted.
    """
    part = _zones(hosts).dispatchers["entry-z0"]
    for number in range(8 + waiting if waiting else 0):
        part.register("entry-x", dispatch_zones.register(f"old{number}"))
    started_s = time.perf_counter()
    for number in range(REGISTERS):
        name = f"new{number}"
        part.register("entry-x", dispatch_zones.register(name))
        part.withdraw(messages.Withdraw(name))
    return (time.perf_counter() - started_s) / REGISTERS


def withdraw_cost(waiting: int) -> float:
    """Returns the seconds of one withdrawal in a wave that empties the list."""
    part = _zones(1).dispatchers["entry-z0"]
    for number in range(8 + waiting):
        part.register("entry-x", dispatch_zones.register(f"old{number}"))
    started_s = time.perf_counter()
    for number in range(waiting):
        part.withdraw(messages.Withdraw(f"old{8 + number}"))
    return (time.perf_counter() - started_s) / waiting
