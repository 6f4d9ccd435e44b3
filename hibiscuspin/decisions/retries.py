"""A budget that bounds the extra attempts of all requests together.

Each first attempt adds `EXTRA_ATTEMPT_SHARE` to the budget, and each extra
attempt uses 1. The number of extra attempts is therefore at most this share
of the first attempts, plus a small reserve.
"""

from typing import NamedTuple

__all__ = ["Budget", "after_first", "may_start", "spend"]

EXTRA_SHARE = 0.1
RESERVE = 10.0


class Budget(NamedTuple):
    """How many extra attempts may start now; may be fractional."""

    left: float = RESERVE


def after_first(budget: Budget) -> Budget:
    """Returns the budget after a first attempt."""
    return Budget(min(RESERVE, budget.left + EXTRA_SHARE))


def spend(budget: Budget) -> Budget | None:
    """Returns the budget after an extra attempt, or None if it is used up."""
    if budget.left < 1.0:
        return None
    return Budget(budget.left - 1.0)


def may_start(now: float, deadline: float, min_duration_s: float = 0.0) -> bool:
    """Tells whether an attempt that takes `min_duration_s` ends in time."""
    return now + min_duration_s < deadline
