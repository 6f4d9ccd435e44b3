"""Which instances watch the store themselves, and how long others wait.

Load pattern: hundreds of instances that would each watch the configuration
and the registrations. Each change would cost a call an instance, and so would
each start and each outage. A few relays a region watch the store and send
what they know to the others with the list of targets. An instance that hears
nothing within the bound looks itself.
"""

from collections.abc import Collection
from typing import NamedTuple

from hibiscuspin import rendezvous
from hibiscuspin.decisions import readers

__all__ = [
    "FeedState",
    "RELAYS_PER_REGION",
    "REGISTRATIONS_DELAY_S",
    "UNKNOWN_RANK",
    "after_feed",
    "after_outage_notice",
    "must_look_itself",
    "rank",
    "resumed",
    "started",
]

RELAYS_PER_REGION = 2
# The rank of an instance that does not know the others yet.
UNKNOWN_RANK = 1000
# Instances that start together have registered after this time. One that
# restarts is fed, or finds out by itself, within it.
START_GRACE_S = 1.5
# Instances that start together register within this time. One that reads the
# registrations earlier takes itself for a relay.
REGISTRATIONS_DELAY_S = 0.5
# A relay repeats its notice of an outage more often than this.
OUTAGE_NOTICE_TTL_S = 2.0


class FeedState(NamedTuple):
    """What an instance has heard from relays.

    Attributes:
        fed_until: Until when the copies from relays count as current.
        wait_until: Until when it does not look itself.
    """

    fed_until: float
    wait_until: float


def started(now: float) -> FeedState:
    """Returns the state of an instance that starts."""
    return FeedState(now, now + START_GRACE_S)


def resumed(state: FeedState, now: float) -> FeedState:
    """Returns the state of an instance that has jobs to resume at its start.

    It looks itself at once: if all instances restarted together, nobody can
    feed it, and the steps of its jobs wait.
    """
    return state._replace(wait_until=min(state.wait_until, now))


def after_feed(drain_s: float, now: float) -> FeedState:
    """Returns the state after a relay has sent current copies.

    Args:
        drain_s: How long a draining target still serves requests.
        now: The monotonic time.
    """
    until = now + readers.lost_age_s(drain_s)
    return FeedState(until, until)


def after_outage_notice(state: FeedState, now: float) -> FeedState:
    """Returns the state after a relay could not reach the store."""
    wait_until = max(state.wait_until, now + OUTAGE_NOTICE_TTL_S)
    return state._replace(wait_until=wait_until)


def must_look_itself(state: FeedState, own_rank: int, now: float) -> bool:
    """Returns whether an instance asks the store itself.

    Args:
        state: What it has heard from relays.
        own_rank: Its rank among the instances of its region.
        now: The monotonic time.
    """
    return own_rank < RELAYS_PER_REGION or now >= state.wait_until


def rank(instance: str, region: str, names: Collection[str]) -> int:
    """Returns an instance's rank among those of its region; relays lead.

    Args:
        instance: The name of the instance.
        region: Its region.
        names: The live instances of the region.
    """
    order = rendezvous.rank(f"reader {region}", {*names, instance})
    return order.index(instance)
