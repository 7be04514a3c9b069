"""An asyncio event loop on a virtual clock.

Timers fire in order without waiting, so that simulated hours take seconds and
the same seed gives the same run.
"""

import asyncio
from collections import abc
import random
import selectors
import time
import typing

from chervillead import types

# Wall clock time at the start of each run; only differences matter.
WALL_START_S = 1_800_000_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock by each timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("deadlock: no timer and no event is pending")
        self.now_s += max(0.0, timeout)
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when all tasks wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        # With a resolution of 0, rounding could keep a timer from ever being
        # due.
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Returns virtual seconds since the loop was made."""
        return self._virtual_selector.now_s


def clock() -> types.Clock:
    """Returns the clock of the running virtual loop."""
    loop = asyncio.get_running_loop()
    return types.Clock(loop.time, lambda: WALL_START_S + loop.time())


def wall_ms() -> int:
    """Returns the Unix time of the running loop, virtual or not."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, VirtualTimeLoop):
        return int(1000 * clock().wall())
    return int(1000 * time.time())


def run_virtual(
    main: abc.Coroutine[typing.Any, typing.Any, typing.Any], seed: int
) -> typing.Any:
    """Runs `main` on a virtual clock, with the random generator seeded."""
    random.seed(seed)
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
