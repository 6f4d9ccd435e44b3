"""Which instance reads the list of targets from the store for a region.

Load pattern: a fleet whose instances would each read the list every second.
The store's rate limits don't grow as fast as the fleet, and its calls are
paid. One instance of the region therefore reads the list and sends it to the
others; if it doesn't, the next instance in order reads it.
"""

__all__ = ["lost_age_s", "read_period_s", "next_read_at"]

# A draining target must get no requests after the drain time, so two reads and
# the takeover delay of the next reader must fit into it. Targets write their
# entries every 1.2 s, so a watch would return as often and cost more.
READ_PERIOD_SHARE = 0.36
MIN_PERIOD_S = 0.3
# How much longer each reader waits than the one before it; covers the jitter
# of the reader's period and the time to send the list.
TAKEOVER_DELAY_S = 0.35
# Limits the age of the list regardless of the number of instances.
MAX_RANK = 3
# The duration of one read while the store is slow.
SLOW_READ_S = 0.3


def read_period_s(drain_s: float) -> float:
    """Returns the seconds between two reads of the list.

    Args:
        drain_s: How long a draining target still serves requests.
    """
    return max(MIN_PERIOD_S, READ_PERIOD_SHARE * drain_s)


def lost_age_s(drain_s: float) -> float:
    """Returns the age above which a list counts as lost.

    A list becomes this old only if no instance could read it from the store.
    Entries of live targets may have expired there meanwhile.
    """
    return read_period_s(drain_s) + TAKEOVER_DELAY_S * MAX_RANK + SLOW_READ_S


def next_read_at(rank: int, list_read_at: float, drain_s: float) -> float:
    """Returns when an instance should read the list itself.

    Args:
        rank: The instance's rank among those of its region.
        list_read_at: When the instance's current list was read.
        drain_s: How long a draining target still serves requests.
    """
    delay_s = TAKEOVER_DELAY_S * min(rank, MAX_RANK)
    return list_read_at + read_period_s(drain_s) + delay_s
