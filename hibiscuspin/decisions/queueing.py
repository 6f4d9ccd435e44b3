"""Whether a call starts, waits for a place or is rejected.

Load pattern: a burst of several times the usual load, or the loss of most
targets of a service. Calls that can't be answered in time are rejected at
once, with the time at which they can; none is rejected while places are
free, and none is held to its deadline.
"""

import enum
from typing import NamedTuple

__all__ = ["Load", "Move", "Verdict", "judge"]

LEAST_RETRY_S = 0.2
MOST_RETRY_S = 3.0
# A target that was full or failing is tried again after this time.
POLL_S = 0.03


class Move(enum.Enum):
    """What to do with a call now."""

    START = enum.auto()
    WAIT = enum.auto()
    REJECT = enum.auto()


class Load(NamedTuple):
    """A service's load as one instance knows it.

    Attributes:
        free: Places that no known request takes.
        slots: Places of all targets that may take work.
        ahead: Calls of this instance that wait for a place.
        answer_s: Usual time of an answer.
    """

    free: int
    slots: int
    ahead: int
    answer_s: float


class Verdict(NamedTuple):
    """A move, and for a rejection the time after which to come back."""

    move: Move
    retry_after_s: float = 0.0


def judge(load: Load, now: float, deadline: float) -> Verdict:
    """Decides on a call that is not placed yet."""
    if load.free > 0:
        return Verdict(Move.START)
    wait_s = (load.ahead + 1) * load.answer_s / max(1, load.slots)
    if load.slots and now + wait_s + load.answer_s <= deadline:
        return Verdict(Move.WAIT)
    retry_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s))
    return Verdict(Move.REJECT, retry_s)
