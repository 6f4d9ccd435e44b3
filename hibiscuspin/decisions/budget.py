"""Token buckets that limit the store calls of each instance.

The store's rate limits are shared by all instances, so the rate of each one
shrinks as the fleet grows. Unused tokens accumulate up to a burst limit.
"""

from typing import NamedTuple

__all__ = ["TokenBucket", "return_token", "rate_per_s", "take_token"]

CALLS_PER_S_BY_KIND = {"write": 300.0, "read": 1200.0}
BURST_BY_KIND = {"write": 60.0, "read": 120.0}
MIN_CALLS_PER_S = 0.2


class TokenBucket(NamedTuple):
    """The token bucket for one kind of call.

    Attributes:
        tokens: The tokens in the bucket; negative while calls wait for theirs.
        updated_at: The monotonic time for which `tokens` holds.
    """

    tokens: float
    updated_at: float


def rate_per_s(kind: str, instances: int) -> float:
    """Returns how many calls per second each of `instances` may make."""
    return max(MIN_CALLS_PER_S, CALLS_PER_S_BY_KIND[kind] / max(1, instances))


def take_token(
    bucket: TokenBucket, kind: str, per_s: float, now: float
) -> tuple[TokenBucket, float]:
    """Takes a token for one call.

    A call that must wait takes its token in advance, so the count may become
    negative.

    Returns:
        The new bucket, and how many seconds the call must wait.
    """
    earned = max(0.0, now - bucket.updated_at) * per_s
    tokens = min(BURST_BY_KIND[kind], bucket.tokens + earned) - 1.0
    return TokenBucket(tokens, now), max(0.0, -tokens / per_s)


def return_token(bucket: TokenBucket) -> TokenBucket:
    """Puts the token of a call that was not made back into the bucket."""
    return bucket._replace(tokens=bucket.tokens + 1.0)
