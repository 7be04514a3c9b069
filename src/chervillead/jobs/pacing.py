"""At which share tasks that fill may work beside tasks that serve.

Answers the pattern of a serving task whose tail latency rises with what fills
the worker beside it: filling gives way before the target is missed, and comes
back slowly.
"""

# Share of the target from which filling gives way, and from which it stops.
SLOW_AT = 0.7
STOP_AT = 0.9
# Below this share of the target, filling may come back.
RAISE_BELOW = 0.5
SLOW_PERCENT = 30
RAISE_PERCENT = 20


def next_pace_percent(current: int, tail_ms: int, target_ms: int) -> int:
    """Returns the share for tasks that fill beside a serving task.

    Args:
        current: Their share now, in percent.
        tail_ms: Tail latency of the serving task.
        target_ms: Bound of it.
    """
    if not target_ms:
        return current
    share = tail_ms / target_ms
    if share >= STOP_AT:
        return 0
    if share >= SLOW_AT:
        return min(current, SLOW_PERCENT)
    if share < RAISE_BELOW:
        return min(100, current + RAISE_PERCENT)
    return current
