"""How much of a pool its queues need, from samples of a second each."""

import math
import typing

# Long beside a burst and its backlog (some 20 s), short beside a failure.
MEAN_WINDOW_S = 120.0
# Bursts come around within some minutes, so their peak is kept about as long.
PEAK_DECAY_S = 600.0
# Below this use, requests wait for units of a team's limit, not for slots.
SATURATED_UTILIZATION = 0.9


class PoolLoad(typing.NamedTuple):
    """Load of a pool at one time, summed over its queues and all zones.

    Attributes:
        slots: Slots of hosts that take work.
        running: Slots in use.
        waiting: Requests that wait.
        run_s: Mean run time.
        target_s: Shortest target of its queues.
    """

    slots: int
    running: int
    waiting: float
    run_s: float
    target_s: float


class PoolDemand(typing.NamedTuple):
    """What the samples of a pool come to.

    Attributes:
        slots: Slots that take work now.
        mean: Mean over `MEAN_S` of the slots that arriving work needs: those in
            use, and those for the growth of the backlog. The backlog itself
            doesn't count, since a burst leaves one without a lasting need.
        loss_s: Seconds for which new requests would have missed the target,
            less twice the seconds since in which none would; 0 once hosts have
            joined.
        calm_s: Seconds since the target was last at risk.
        run_s: Mean run time.
        observed_s: Seconds that were observed.
        waiting: Requests that waited at the last sample.
        peak: Most requests that ran and waited at a time, of late.
        target_s: Shortest target of the pool's queues.
    """

    slots: int
    mean_slots: float = 0.0
    shortage_s: float = 0.0
    target_met_s: float = 0.0
    run_s: float = 0.0
    observed_s: float = 0.0
    waiting: float = 0.0
    peak_requests: float = 0.0
    target_s: float = math.inf


def backlog_s(load: PoolLoad) -> float:
    """Returns how long the pool would need for what waits now."""
    if not load.waiting:
        return 0.0
    if load.slots <= 0:
        return math.inf
    if load.running < SATURATED_UTILIZATION * load.slots:
        return 0.0
    return load.waiting * load.run_s / load.slots


def update_demand(
    previous: PoolDemand | None, load: PoolLoad, elapsed_s: float
) -> PoolDemand:
    """Returns the demand after a sample that stands for some seconds."""
    active_requests = load.running + load.waiting
    if previous is None:
        return PoolDemand(
            load.slots,
            load.running,
            run_s=load.run_s,
            waiting=load.waiting,
            peak_requests=active_requests,
            target_s=load.target_s,
        )
    growth = (load.waiting - previous.waiting) / elapsed_s
    needed_slots = load.running + growth * load.run_s
    is_at_risk = backlog_s(load) > load.target_s
    # Bursts with their backlogs may take up to two thirds of the time.
    change_s = elapsed_s if is_at_risk else -2 * elapsed_s
    shortage_s = (
        0.0 if load.slots > previous.slots else previous.shortage_s + change_s
    )
    observed_s = previous.observed_s + elapsed_s
    # Until the window is full, all samples weigh the same.
    weight = max(
        -math.expm1(-elapsed_s / MEAN_WINDOW_S), elapsed_s / observed_s
    )
    return PoolDemand(
        load.slots,
        previous.mean_slots + weight * (needed_slots - previous.mean_slots),
        max(0.0, shortage_s),
        0.0 if is_at_risk else previous.target_met_s + elapsed_s,
        load.run_s,
        observed_s,
        load.waiting,
        max(
            active_requests,
            previous.peak_requests * math.exp(-elapsed_s / PEAK_DECAY_S),
        ),
        load.target_s,
    )
