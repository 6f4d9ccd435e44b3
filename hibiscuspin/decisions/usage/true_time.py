"""True time from a monotonic clock, although the wall clock may jump.

Load pattern: a machine's wall clock steps by seconds and back while windows of
5 s are counted. Counts must go to the windows of true time all the while, and
all instances must agree on the windows.

The offset of the monotonic clock is set once, by a vote of several instances.
It then follows the wall clock slowly, as machines correct the rate of their
clocks, and not at all while the wall clock is far off.
"""

import statistics
from collections.abc import Collection
from typing import NamedTuple

__all__ = ["TimeOffset", "choose_offset", "follow"]

# A clock's rate is wrong by far less, so this corrects all real drift.
MAX_DRIFT_S_PER_S = 0.001
# A larger deviation is a step of the wall clock and no drift.
STEP_S = 0.1


class TimeOffset(NamedTuple):
    """The offset of the monotonic clock of one machine.

    Attributes:
        offset_s: What to add to monotonic time to get true Unix time.
        followed_at: When the offset was last set, in monotonic time.
        is_stepped: Whether the wall clock has stepped away from it.
    """

    offset_s: float
    followed_at: float
    is_stepped: bool = False

    def true_time(self, at: float) -> float:
        """Returns the Unix time of a monotonic time."""
        return at + self.offset_s


def choose_offset(own_s: float, others_s: Collection[float]) -> float:
    """Returns the offset on which most instances agree.

    Args:
        own_s: The offset that this instance would use.
        others_s: The offsets that others propose, for the same monotonic
            clock.
    """
    # An even number of votes has no middle one, and others have run longer.
    votes = [*others_s] if len(others_s) % 2 else [own_s, *others_s]
    return statistics.median(votes)


def follow(offset: TimeOffset, wall_offset_s: float, now: float) -> TimeOffset:
    """Returns the offset after a look at the wall clock.

    Args:
        offset: The offset so far.
        wall_offset_s: The wall clock's time less monotonic time.
        now: The monotonic time.
    """
    deviation_s = wall_offset_s - offset.offset_s
    if abs(deviation_s) > STEP_S:
        return TimeOffset(offset.offset_s, now, is_stepped=True)
    limit_s = max(0.0, now - offset.followed_at) * MAX_DRIFT_S_PER_S
    change_s = max(-limit_s, min(limit_s, deviation_s))
    return TimeOffset(offset.offset_s + change_s, now)
