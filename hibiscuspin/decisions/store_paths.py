"""Whether a call to the store is sent directly or relayed by an instance.

The store may reject one instance, or a network partition may separate them,
while other instances still reach it. After a failed direct call, other
instances are tried first for some time, and then the direct path again. If
relayed calls fail too, the store itself is slow or down, and the timeout of
direct calls is increased.
"""

from typing import NamedTuple

__all__ = [
    "DirectPath",
    "after_direct_call",
    "after_relayed_call",
    "direct_timeout_s",
    "paths_to_try",
]

# Allows for a store that responds 100 times slower than its usual 4 ms.
DIRECT_TIMEOUT_S = 0.8
MAX_DIRECT_TIMEOUT_S = 2.5
# Response times of a slow store vary; the next call may take this many times
# as long as the last.
LATENCY_FACTOR = 2.5
# Half of a contact time of 3 s, so that the direct path is tried again within
# it.
AVOID_DIRECT_S = 1.5
MAX_RELAYS = 2


class DirectPath(NamedTuple):
    """The state of the direct path to the store.

    Attributes:
        failures: Number of consecutive failures.
        avoid_until: Monotonic time until which relays are tried first.
        relayed: Whether a relayed call succeeded since the last success of
            a direct call.
        latency_s: The duration of the last successful direct call.
    """

    failures: int = 0
    avoid_until: float = 0.0
    relayed: bool = False
    latency_s: float = 0.0


def after_direct_call(
    path: DirectPath, ok: bool, now: float, took_s: float = 0.0
) -> DirectPath:
    """Returns the state after a direct call.

    Args:
        path: The state before.
        ok: Whether the call succeeded.
        now: The monotonic time.
        took_s: The duration of the call.
    """
    if ok:
        return DirectPath(latency_s=took_s)
    return path._replace(
        failures=path.failures + 1, avoid_until=now + AVOID_DIRECT_S
    )


def after_relayed_call(path: DirectPath) -> DirectPath:
    """Returns the state after a successful relayed call."""
    return path._replace(relayed=True)


def direct_timeout_s(path: DirectPath) -> float:
    """Returns the timeout of a direct call."""
    timeout_s = DIRECT_TIMEOUT_S
    if not path.relayed:
        timeout_s *= 2.0 ** min(path.failures, 4)
    timeout_s = max(timeout_s, LATENCY_FACTOR * path.latency_s)
    return min(MAX_DIRECT_TIMEOUT_S, timeout_s)


def paths_to_try(path: DirectPath, relays: int, now: float) -> list[int | None]:
    """Returns the paths to try in order.

    Args:
        path: The state of the direct path.
        relays: The number of instances that can relay the call.
        now: The monotonic time.

    Returns:
        None for the direct path, or the index of a relay.
    """
    others: list[int | None] = list(range(min(relays, MAX_RELAYS)))
    if now < path.avoid_until and others:
        return [*others, None]
    return [None, *others]
