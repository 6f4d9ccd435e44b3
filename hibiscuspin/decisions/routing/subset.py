"""Bounded subsets of targets that are stable across restarts.

Rendezvous hashing assigns each instance a small subset of the targets, so
the number of connections and polls of an instance does not grow with the
fleet.
"""

from collections.abc import Iterable
from typing import NamedTuple

from hibiscuspin.rendezvous import rank

__all__ = ["TargetLocation", "target_subset"]

MAX_LOCAL_TARGETS = 24
MAX_REMOTE_TARGETS = 4


class TargetLocation(NamedTuple):
    """The location of a target relative to this instance.

    Attributes:
        name: The target's name.
        local: Whether it is in the same data centre.
        same_region: Whether it is in the same region.
    """

    name: str
    local: bool
    same_region: bool


def target_subset(
    instance: str, locations: Iterable[TargetLocation]
) -> frozenset[str]:
    """Returns the names of the targets that an instance uses.

    Most are in its own data centre. The others are a fallback for when none
    of these can serve; targets in the instance's region are preferred.
    """
    location_by_name = {location.name: location for location in locations}
    order = [
        location_by_name[name] for name in rank(instance, location_by_name)
    ]
    local = [location.name for location in order if location.local]
    remote = [location for location in order if not location.local]
    remote.sort(key=lambda location: not location.same_region)
    remote_names = [location.name for location in remote[:MAX_REMOTE_TARGETS]]
    return frozenset(local[:MAX_LOCAL_TARGETS] + remote_names)
