"""The order of scoring, its share of a service, and retries.

Load pattern: several steps end at once and need more scores than the service
has slots, while callers use the same service. Every sample waits for the
same pool, so first come, first served completes all groups late. A trainer
uses whole groups only: the groups with the fewest unfinished samples come
first, and callers always find some free slots.
"""

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple

from hibiscuspin.decisions import queueing

__all__ = [
    "RetryAction",
    "RetryDecision",
    "RetryLimits",
    "ScoringAttempts",
    "UnscoredSample",
    "after_failure",
    "score_order",
    "startable_calls",
]

# The share of a service's slots that scoring leaves to callers.
CALLER_SHARE = 0.25
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class UnscoredSample(NamedTuple):
    """A complete sample without a score.

    Attributes:
        number: Its number in the queue; increases with each sample.
        unfinished_in_group: The unfinished samples of its group, including
            this one.
        due_at: When the results of its step are due.
    """

    number: int
    unfinished_in_group: int
    due_at: float


def score_order(samples: Sequence[UnscoredSample]) -> list[int]:
    """Returns the numbers of samples in the order in which to score them.

    The groups closest to complete come first, then the earliest due time,
    then the sample that has waited longest.
    """
    ordered = sorted(
        samples,
        key=lambda s: (s.unfinished_in_group, s.due_at, s.number),
    )
    return [sample.number for sample in ordered]


def startable_calls(load: queueing.ServiceLoad, in_flight: int) -> int:
    """Returns how many more scoring calls an instance may send to a service.

    One call is always allowed, so that a service whose slots all seem
    occupied is still probed.

    Args:
        load: The service's load.
        in_flight: The scoring calls of this instance in flight.
    """
    reserved = math.ceil(CALLER_SHARE * load.slots)
    if load.is_limited:
        # The limits reserve tokens for callers, and need no probe.
        return max(0, min(load.free, load.slots - in_flight - reserved))
    unreserved = min(load.free, load.slots - in_flight) - reserved
    return max(unreserved, 0 if in_flight else 1)


class RetryAction(enum.Enum):
    """What to do after a failed attempt to score a sample."""

    RETRY = enum.auto()
    GIVE_UP = enum.auto()


class ScoringAttempts(NamedTuple):
    """The failed attempts to score one sample.

    Attributes:
        failures: The number of failed attempts.
        server_errors: The responses that were a target's own server error.
    """

    failures: int = 0
    server_errors: int = 0


class RetryLimits(NamedTuple):
    """When to give up scoring a sample; None is no limit.

    Attributes:
        max_failures: The number of failed attempts.
        max_server_errors: The number of server errors in responses.
    """

    max_failures: int | None = None
    max_server_errors: int | None = None


class RetryDecision(NamedTuple):
    """An action, and for RETRY the time from which to try again."""

    action: RetryAction
    retry_at: float = 0.0


def after_failure(
    attempts: ScoringAttempts,
    limits: RetryLimits,
    retry_after_s: float,
    now: float,
) -> RetryDecision:
    """Decides on a sample whose scoring has failed.

    Args:
        attempts: Its failed attempts, including this one.
        limits: When to give up.
        retry_after_s: The earliest retry that the service suggests; 0 for
            none.
        now: The monotonic time.
    """
    if _reached(attempts.failures, limits.max_failures) or _reached(
        attempts.server_errors, limits.max_server_errors
    ):
        return RetryDecision(RetryAction.GIVE_UP)
    backoff_s = INITIAL_BACKOFF_S * 2 ** min(10, attempts.failures - 1)
    delay_s = max(retry_after_s, min(MAX_BACKOFF_S, backoff_s))
    return RetryDecision(RetryAction.RETRY, now + delay_s)


def _reached(count: int, limit: int | None) -> bool:
    return limit is not None and count >= limit
