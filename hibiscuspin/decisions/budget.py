"""Token buckets that limit the store calls of each instance.

The store's rate limits are shared by all instances, so the rate of each one
shrinks as the fleet grows. Unused tokens accumulate up to a burst limit.
"""

from typing import NamedTuple

__all__ = ["Budget", "give_back", "rate", "take"]

CALLS_PER_S_BY_KIND = {"write": 300.0, "read": 1200.0}
BURST_BY_KIND = {"write": 60.0, "read": 120.0}
MIN_CALLS_PER_S = 0.2


class Budget(NamedTuple):
    """The token bucket for one kind of call.

    Attributes:
        tokens: The tokens in the bucket; negative while calls wait for theirs.
        updated_at: The monotonic time for which `tokens` holds.
    """

    left: float
    at: float


def rate(kind: str, instances: int) -> float:
    """Returns how many calls per second each of `instances` may make."""
    return max(MIN_CALLS_PER_S, CALLS_PER_S_BY_KIND[kind] / max(1, instances))


def take(
    bucket: Budget, kind: str, per_s: float, now: float
) -> tuple[Budget, float]:
    """Takes a token for one call.

    A call that must wait takes its token in advance, so the count may become
    negative.

    Returns:
        The new bucket, and how many seconds the call must wait.
    """
    earned = max(0.0, now - bucket.at) * per_s
    tokens = min(BURST_BY_KIND[kind], bucket.left + earned) - 1.0
    return Budget(tokens, now), max(0.0, -tokens / per_s)


def give_back(bucket: Budget) -> Budget:
    """Returns the token of a call that was not made."""
    return bucket._replace(left=bucket.left + 1.0)
