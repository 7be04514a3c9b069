"""CPU share of best-effort tasks next to latency-sensitive ones.

Best-effort tasks on the same worker raise the tail latency of latency-sensitive
ones. They are slowed before the latency target is missed, and sped up in small
steps.
"""

# Ratios of the tail latency to its target from which best-effort tasks are
# slowed, and from which they are stopped.
SLOW_DOWN_LATENCY_RATIO = 0.7
STOP_LATENCY_RATIO = 0.9
# Ratio below which best-effort tasks are sped up again.
RAISE_LATENCY_RATIO = 0.5
SLOWED_PACE_PERCENT = 30
PACE_STEP_PERCENT = 20


def next_pace_percent(
    current_percent: int, tail_latency_ms: int, latency_target_ms: int
) -> int:
    """Returns the pace of best-effort tasks next to a latency-sensitive one.

    Args:
        current_percent: Their current pace, in percent.
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
