"""A budget that bounds the extra attempts of all requests together.

Each first attempt adds `EXTRA_ATTEMPT_SHARE` to the budget, and each extra
attempt uses 1. The number of extra attempts is therefore at most this share
of the first attempts, plus a small reserve.
"""

from typing import NamedTuple

__all__ = [
    "RetryBudget",
    "after_first_attempt",
    "may_start",
    "after_extra_attempt",
]

EXTRA_ATTEMPT_SHARE = 0.1
RESERVE_ATTEMPTS = 10.0


class RetryBudget(NamedTuple):
    """How many extra attempts may start now; may be fractional."""

    available: float = RESERVE_ATTEMPTS


def after_first_attempt(budget: RetryBudget) -> RetryBudget:
    """Returns the budget after a first attempt."""
    return RetryBudget(
        min(RESERVE_ATTEMPTS, budget.available + EXTRA_ATTEMPT_SHARE)
    )


def after_extra_attempt(budget: RetryBudget) -> RetryBudget | None:
    """Returns the budget after an extra attempt, or None if it is used up."""
    if budget.available < 1.0:
        return None
    return RetryBudget(budget.available - 1.0)


def may_start(now: float, deadline: float, min_duration_s: float = 0.0) -> bool:
    """Tells whether an attempt that takes `min_duration_s` ends in time."""
    return now + min_duration_s < deadline
