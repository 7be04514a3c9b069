"""Demand of a pool's queues, estimated from load samples taken each second."""

import math
import typing

# Much longer than a burst and its backlog (about 20 s), much shorter than the
# loss of a host or zone.
MEAN_WINDOW_S = 120.0
# Bursts recur within a few minutes, so their peak is remembered for about as
# long.
PEAK_DECAY_S = 600.0
# Below this utilization, requests wait for units of a team's limit rather than
# for slots.
SATURATED_UTILIZATION = 0.9


class PoolLoad(typing.NamedTuple):
    """Load of a pool at one time, summed over its queues and all zones.

    Attributes:
        slots: Slots of schedulable hosts.
        running: Slots in use.
        waiting: Number of waiting requests.
        run_s: Mean run time of a request.
        target_s: Shortest latency target of its queues.
    """

    slots: int
    running: int
    waiting: float
    run_s: float
    target_s: float


class PoolDemand(typing.NamedTuple):
    """Demand of a pool, aggregated from its load samples.

    Attributes:
        slots: Slots of schedulable hosts.
        mean_slots: Slots that arriving work needs, as a mean over
            `MEAN_WINDOW_S`: the slots in use plus those for the growth of the
            backlog. The backlog itself doesn't count, since a burst leaves one
            without sustained demand.
        shortage_s: Seconds during which new requests would have missed the
            target, minus twice the seconds during which they would have met it;
            never negative, and 0 after the pool has gained slots.
        target_met_s: Seconds since the target was last at risk.
        run_s: Mean run time of a request.
        observed_s: Seconds covered by the samples.
        waiting: Number of waiting requests at the last sample.
        peak_requests: Recent maximum of running and waiting requests; decays
            over `PEAK_DECAY_S`.
        target_s: Shortest latency target of the pool's queues.
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
    """Returns how long the pool would take to start all waiting requests.

    0 if slots are free, since the requests then wait for something else.
    """
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
    """Returns the demand after another load sample.

    Args:
        previous: The demand before; None for the first sample.
        load: The sample.
        elapsed_s: Seconds that the sample stands for.
    """
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
    # With this ratio, bursts and their backlogs may take up two thirds of the
    # time without counting as a shortage.
    change_s = elapsed_s if is_at_risk else -2 * elapsed_s
    shortage_s = (
        0.0 if load.slots > previous.slots else previous.shortage_s + change_s
    )
    observed_s = previous.observed_s + elapsed_s
    # All samples have equal weight until the window is full.
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
