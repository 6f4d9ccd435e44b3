"""Whether a call to the store goes directly or through another instance.

The store may turn one instance away, or a partition may separate them,
while other instances reach it. After a failed direct call the others are
asked for a while; the direct way is then tried again.
"""

from typing import NamedTuple

__all__ = ["DirectPath", "after_direct", "order"]

# Longer than a store that answers 100 times slower than its usual 4 ms.
DIRECT_TIMEOUT_S = 0.8
# Half of a contact time of 3 s, so that the direct way is back within it.
AVOID_S = 1.5
MAX_RELAYS = 2


class DirectPath(NamedTuple):
    """What is known of the direct way; avoided until a monotonic time."""

    failures: int = 0
    avoid_until: float = 0.0


def after_direct(path: DirectPath, ok: bool, now: float) -> DirectPath:
    """Returns the state after a direct call."""
    if ok:
        return DirectPath()
    return DirectPath(path.failures + 1, now + AVOID_S)


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
