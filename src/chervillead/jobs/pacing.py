"""CPU share of best-effort tasks next to latency-sensitive ones.

Best-effort tasks on the same worker raise the tail latency of latency-sensitive
ones. They are slowed before the latency target is missed: those that contribute
most first as far as that is known, and all alike otherwise.
"""

from collections import abc
import typing

from chervillead.jobs import latency_fit

# Ratios of the tail latency to its target from which best-effort tasks are
# slowed, and from which they are stopped.
SLOW_DOWN_LATENCY_RATIO = 0.7
STOP_LATENCY_RATIO = 0.9
# Ratio below which best-effort tasks are sped up again.
RAISE_LATENCY_RATIO = 0.5
SLOWED_PACE_PERCENT = 30
PACE_STEP_PERCENT = 20
MIN_STEP_PERCENT = 5
# Ratio that is aimed at where the effects of the tasks are known. It lies
# between the two limits above, so that chance crosses neither.
AIM_LATENCY_RATIO = 0.6


class Neighbor(typing.NamedTuple):
    """A best-effort task next to a latency-sensitive one.

    Attributes:
        image: Its image.
        pace_percent: Its pace.
        effect: Its estimated effect at full pace.
    """

    image: str
    pace_percent: int
    effect: latency_fit.Estimate

    @property
    def is_known(self) -> bool:
        """Whether its effect is known well enough to act on it."""
        return self.effect.is_confident


def next_pace_percent(
    current_percent: int, tail_latency_ms: int, latency_target_ms: int
) -> int:
    """Returns the pace of a best-effort task whose effect isn't known.

    Args:
        current_percent: Its current pace, in percent.
        tail_latency_ms: Tail latency of the latency-sensitive task.
        latency_target_ms: Its upper bound; 0 leaves the pace as it is.
    """
    if not latency_target_ms:
        return current_percent
    latency_ratio = tail_latency_ms / latency_target_ms
    if latency_ratio >= STOP_LATENCY_RATIO:
        return 0
    if latency_ratio >= SLOW_DOWN_LATENCY_RATIO:
        return min(current_percent, SLOWED_PACE_PERCENT)
    if latency_ratio < RAISE_LATENCY_RATIO:
        return min(100, current_percent + PACE_STEP_PERCENT)
    return current_percent


def next_paces(
    neighbors: abc.Sequence[Neighbor],
    latency_ratio: float,
    *,
    is_settled: bool,
    may_spare: bool,
) -> list[int]:
    """Returns the paces of all best-effort tasks next to one task.

    Args:
        neighbors: The best-effort tasks.
        latency_ratio: Tail latency of the latency-sensitive task relative to
            its target.
        is_settled: Whether the latency shows the effect of the last change;
            otherwise tasks whose effect is known keep their pace.
        may_spare: Whether harmless tasks may go on beyond the limit while the
            others are being stopped.
    """
    if latency_ratio >= STOP_LATENCY_RATIO:
        return _stop(neighbors, is_settled=is_settled, may_spare=may_spare)
    paces = _pace_unknown(neighbors, latency_ratio)
    if not is_settled:
        return paces
    if latency_ratio >= SLOW_DOWN_LATENCY_RATIO and any(
        not neighbor.is_known and neighbor.pace_percent > SLOWED_PACE_PERCENT
        for neighbor in neighbors
    ):
        # The unknown tasks have just been slowed.
        return paces
    return _allot(neighbors, paces, latency_ratio)


def _pace_unknown(
    neighbors: abc.Sequence[Neighbor], latency_ratio: float
) -> list[int]:
    """Returns the paces of all tasks after a change of the unknown ones.

    Images whose paces always change together can't be told apart, so the paces
    of one image rise at a time.
    """
    raised = max(
        (
            neighbor
            for neighbor in neighbors
            if not neighbor.is_known and neighbor.pace_percent < 100
        ),
        key=lambda neighbor: (neighbor.effect.deviation, neighbor.image),
        default=None,
    )
    paces = []
    for neighbor in neighbors:
        pace = neighbor.pace_percent
        if not neighbor.is_known:
            pace = next_pace_percent(pace, round(1000 * latency_ratio), 1000)
        is_raised = raised is not None and neighbor.image == raised.image
        if is_raised and _may_probe(neighbor, latency_ratio):
            pace = min(100, neighbor.pace_percent + PACE_STEP_PERCENT)
        paces.append(pace if is_raised else min(pace, neighbor.pace_percent))
    return paces


def _may_probe(neighbor: Neighbor, latency_ratio: float) -> bool:
    """Returns whether a step up is safe and tells whether an effect is gone.

    An estimate that has become uncertain would otherwise stay so while the
    latency is between the ratios at which the paces of unknown tasks change.
    """
    rise = neighbor.effect.highest_rise * PACE_STEP_PERCENT / 100
    return (
        not neighbor.is_known
        and neighbor.effect.samples > 0
        and latency_ratio < AIM_LATENCY_RATIO
        and latency_ratio + rise < SLOW_DOWN_LATENCY_RATIO
    )


def _stop(
    neighbors: abc.Sequence[Neighbor], *, is_settled: bool, may_spare: bool
) -> list[int]:
    """Stops the tasks that may contribute, or all if that was not enough."""
    are_others_running = any(
        neighbor.pace_percent and not neighbor.effect.is_harmless
        for neighbor in neighbors
    )
    spares = may_spare and (are_others_running or not is_settled)
    return [
        neighbor.pace_percent if spares and neighbor.effect.is_harmless else 0
        for neighbor in neighbors
    ]


def _allot(
    neighbors: abc.Sequence[Neighbor], paces: list[int], latency_ratio: float
) -> list[int]:
    """Divides what the latency target allows among the known tasks.

    The most harmless ones are served first. Below the limit for slowing, a task
    is slowed only in favor of a more harmless one.
    """
    paces = list(paces)
    known = [i for i, neighbor in enumerate(neighbors) if neighbor.is_known]
    rises = {i: max(0.0, neighbors[i].effect.rise) for i in known}
    room = sum(rises[i] * paces[i] / 100 for i in known)
    if latency_ratio >= SLOW_DOWN_LATENCY_RATIO:
        room += AIM_LATENCY_RATIO - latency_ratio
    else:
        room += max(0.0, AIM_LATENCY_RATIO - latency_ratio)
    for i in sorted(known, key=rises.__getitem__):
        pace = _affordable_pace(neighbors[i], paces[i], max(0.0, room))
        # Smaller steps up cost a command each and gain little.
        if paces[i] < pace < min(100, paces[i] + MIN_STEP_PERCENT):
            pace = paces[i]
        room -= rises[i] * pace / 100
        paces[i] = pace
    return paces


def _affordable_pace(neighbor: Neighbor, current: int, room: float) -> int:
    """Returns the highest pace at which a task takes no more than some room.

    What it takes beyond its current pace is reckoned at its upper bound.
    """
    taken = max(0.0, neighbor.effect.rise) * current / 100
    if taken > room:
        return int(current * room / taken)
    highest = neighbor.effect.highest_rise
    if highest * (100 - current) / 100 <= room - taken:
        return 100
    return current + int(100 * (room - taken) / highest)
