"""When callers that were refused at the same moment should return."""

import random

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0


def draw_s() -> float:
    """Returns a random time to wait, in seconds.

    Callers refused together would otherwise overload the owner again together.
    """
    return random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
