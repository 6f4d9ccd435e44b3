"""Whether a call to the store goes directly or through another instance.

The store may turn one instance away, or a partition may separate them,
while other instances reach it. After a failed direct call the others are
asked for a while; the direct way is then tried again. Where the others fail
as well, the store itself is slow or out, and is given more time.
"""

from typing import NamedTuple

__all__ = [
    "DirectPath",
    "after_direct",
    "after_relayed",
    "direct_timeout_s",
    "order",
]

# Longer than a store that answers 100 times slower than its usual 4 ms.
DIRECT_TIMEOUT_S = 0.8
MOST_TIMEOUT_S = 2.5
# Answers of a slow store vary; the next may take this many times the last.
LATENCY_FACTOR = 2.5
# Half of a contact time of 3 s, so that the direct way is back within it.
AVOID_S = 1.5
MAX_RELAYS = 2


class DirectPath(NamedTuple):
    """What is known of the direct way.

    Attributes:
        failures: Failures in a row.
        avoid_until: Until when others are asked first.
        relayed: Whether others have reached the store meanwhile.
        latency_s: How long the last answer took.
    """

    failures: int = 0
    avoid_until: float = 0.0
    relayed: bool = False
    latency_s: float = 0.0


def after_direct(
    path: DirectPath, ok: bool, now: float, took_s: float = 0.0
) -> DirectPath:
    """Returns the state after a direct call that took so long."""
    if ok:
        return DirectPath(latency_s=took_s)
    return path._replace(failures=path.failures + 1, avoid_until=now + AVOID_S)


def after_relayed(path: DirectPath) -> DirectPath:
    """Returns the state after another instance has reached the store."""
    return path._replace(relayed=True)


def direct_timeout_s(path: DirectPath) -> float:
    """Returns how long a direct call may take."""
    wait_s = DIRECT_TIMEOUT_S
    if not path.relayed:
        wait_s *= 2.0 ** min(path.failures, 4)
    wait_s = max(wait_s, LATENCY_FACTOR * path.latency_s)
    return min(MOST_TIMEOUT_S, wait_s)


def order(path: DirectPath, relays: int, now: float) -> list[int | None]:
    """Returns the ways to try in turn: None is direct, else a relay's place.

    Args:
        path: What is known of the direct way.
        relays: How many instances may pass the call on.
        now: The monotonic time.
    """
    others: list[int | None] = list(range(min(relays, MAX_RELAYS)))
    if now < path.avoid_until and others:
        return [*others, None]
    return [None, *others]
