"""How many engines the samples of recent steps need.

Load pattern: trainers submit a step of samples every few seconds. The engines
are full at its start and half empty before its end, and a step that ends late
costs far more than the engines that were idle meanwhile. Capacity therefore
follows the peak of the recent steps, not the mean.
"""

import math
from typing import NamedTuple

__all__ = [
    "NEW_HISTORY",
    "DemandHistory",
    "DemandPoint",
    "engines_needed",
    "engines_to_survive",
    "is_history_complete",
    "observe",
    "peak",
]

# Three steps of a trainer that submits one every 4 s.
PEAK_WINDOW_S = 12.0
# Demand is observed once a second; after a longer gap a peak may be missed.
MAX_GAP_S = 3.0
TARGET_USE = 0.85
# The part of the demand that must be served after one data centre has lost all
# its interruptible engines.
SURVIVING_USE = 0.7


class DemandPoint(NamedTuple):
    """The samples in flight or waiting at a point in monotonic time."""

    at: float
    samples: int


class DemandHistory(NamedTuple):
    """The demand that was observed without a gap.

    Attributes:
        since: Monotonic time of the first observation; infinity for none.
        points: The observations of the last `PEAK_WINDOW_S`.
    """

    since: float
    points: tuple[DemandPoint, ...]


NEW_HISTORY = DemandHistory(math.inf, ())


def observe(history: DemandHistory, samples: int, now: float) -> DemandHistory:
    """Returns the history with one more observation.

    Args:
        history: The observations so far.
        samples: The samples in flight or waiting at all instances.
        now: The monotonic time.
    """
    if not history.points or now - history.points[-1].at > MAX_GAP_S:
        return DemandHistory(now, (DemandPoint(now, samples),))
    recent = tuple(
        point for point in history.points if now - point.at <= PEAK_WINDOW_S
    )
    return DemandHistory(history.since, (*recent, DemandPoint(now, samples)))


def is_history_complete(history: DemandHistory, now: float) -> bool:
    """Returns whether the demand has been observed for a whole window."""
    return now - history.since >= PEAK_WINDOW_S


def peak(history: DemandHistory) -> int:
    """Returns the highest demand of the window."""
    return max((point.samples for point in history.points), default=0)


def engines_needed(samples: int, slots: int) -> int:
    """Returns how many engines serve some samples, with a reserve.

    Args:
        samples: The samples to run at once.
        slots: The slots of one engine.
    """
    return math.ceil(samples / TARGET_USE / slots)


def engines_to_survive(samples: int, slots: int) -> int:
    """Returns how many engines must be left after the largest expected loss."""
    return math.ceil(samples * SURVIVING_USE / slots)
