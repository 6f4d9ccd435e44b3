"""Who reads the list of targets from the store for a region.

Load pattern: a fleet whose instances would each read the list every second,
while the store's rates, and the price of its calls, grow more slowly than
the fleet. One instance reads and tells the others; where its word does not
come, the next in order reads.
"""

from collections.abc import Collection

from hibiscuspin import rendezvous

__all__ = ["lost_after_s", "period_s", "read_at"]

# A target that drains must not get work after the drain time: two readings
# and the patience of the next reader fit into it. Targets write every 1.2 s,
# so that a watch would return as often and cost more.
PERIOD_SHARE = 0.36
LEAST_PERIOD_S = 0.3
# Longer than a reader's period with its jitter and its message.
PATIENCE_S = 0.35
# However many others there are, the list is never much older.
MOST_RANK = 3
# A reading itself, where the store is slow.
READING_S = 0.3


def period_s(drain_s: float) -> float:
    """Returns how often the list is read.

    Args:
        drain_s: How long a target that leaves still serves.
    """
    return max(LEAST_PERIOD_S, PERIOD_SHARE * drain_s)


def lost_after_s(drain_s: float) -> float:
    """Returns how old a list is that no instance could read.

    Entries of targets that live may have ended meanwhile.
    """
    return period_s(drain_s) + PATIENCE_S * MOST_RANK + READING_S


def read_at(
    instance: str,
    region: str,
    names: Collection[str],
    heard_at: float,
    drain_s: float,
) -> float:
    """Returns when an instance is to read the list itself.

    Args:
        instance: Its name.
        region: Where it stands.
        names: The live instances there.
        heard_at: When the list that it has was read.
        drain_s: As for `period_s`.
    """
    order = rendezvous.rank(f"reader {region}", {*names, instance})
    rank = min(order.index(instance), MOST_RANK)
    return heard_at + period_s(drain_s) + PATIENCE_S * rank
