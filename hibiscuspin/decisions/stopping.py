"""Whether a request that arrives during a planned stop is still taken.

Load pattern: an instance stops while callers use connections that they have
kept open. A request that can't end in time would be cut off after a target has
begun to run it. It is refused at once instead, as not run, and its caller
tries another instance. Requests that end in time are served.

Load pattern: a request takes many times as long as those before it, and comes
after callers have been told to go elsewhere. A refusal costs its caller little
by then, and a stream that has begun can only be cut.
"""

import math

__all__ = ["may_take"]

# Few requests take longer than this many times the longest recent one.
DURATION_MARGIN = 1.5
# The response has to be sent as well.
MIN_LEFT_S = 0.2


def may_take(
    limit_s: float,
    longest_s: float | None,
    now: float,
    stop_by: float,
    estimate_until: float = math.inf,
) -> bool:
    """Decides on a request that arrives at `now`.

    Args:
        limit_s: How long the request may take, by its caller and its route.
        longest_s: How long the longest of the recent requests of its route
            took; None if none has ended.
        now: The monotonic time.
        stop_by: The monotonic time by which the response must be complete;
            infinite unless the instance is stopping.
        estimate_until: The monotonic time until which requests are taken that
            end in time if they take no longer than others did. Later ones
            have to end in time by their limit.
    """
    left_s = stop_by - now
    if left_s < MIN_LEFT_S:
        return False
    if limit_s <= left_s:
        return True
    if longest_s is None or now >= estimate_until:
        return False
    return longest_s * DURATION_MARGIN <= left_s
