"""Who reads the list of targets from the store for a data centre.

Load pattern: a fleet whose instances would each read the list every second,
while the store's rates, and the price of its calls, grow more slowly than
the fleet. One instance reads and tells the others; where its word does not
come, the next in order reads.
"""

from collections.abc import Collection

from hibiscuspin import rendezvous

__all__ = ["read_at"]

# A target that drains must not get work 2.5 s later; targets write every
# 1.2 s, so that a watch would return as often and cost more.
PERIOD_S = 0.9
# Longer than a reader's period with its jitter and its message.
PATIENCE_S = 0.35
# However many others there are, the list is never much older.
MOST_RANK = 3


def read_at(
    instance: str, data_centre: str, names: Collection[str], heard_at: float
) -> float:
    """Returns when an instance is to read the list itself.

    Args:
        instance: Its name.
        data_centre: Where it stands.
        names: The live instances there.
        heard_at: When the list that it has was read.
    """
    order = rendezvous.rank(f"reader {data_centre}", {*names, instance})
    rank = min(order.index(instance), MOST_RANK)
    return heard_at + PERIOD_S + PATIENCE_S * rank
