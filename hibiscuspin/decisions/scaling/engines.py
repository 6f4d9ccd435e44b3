"""The engines of a service, counted by data centre and kind.

Load pattern: an instance takes over the coordinator's duty just after engines
were lost. The engines that it saw before count, so that these are replaced.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "EngineCounts",
    "EngineGroup",
    "EngineListing",
    "PresentPoint",
    "highest_present",
    "is_list_usable",
    "record_present",
]

PRESENT_WINDOW_S = 20.0
# Entries of live engines may expire while the store is out. Once it is back,
# all of them register again, and are listed, within this time.
SETTLE_S = 4.0


class EngineGroup(NamedTuple):
    """The engines of one kind in one data centre.

    Attributes:
        data_centre: The data centre.
        interruptible: Whether the platform may take these engines away at
            short notice.
    """

    data_centre: str
    interruptible: bool


EngineCounts = Mapping[EngineGroup, int]


class EngineListing(NamedTuple):
    """The engines of a service as the list shows them.

    Attributes:
        present_by_group: Engines that stay, including those that load weights
            or have failed lately.
        leaving_by_group: Engines that are draining.
        reclaimed: The groups with engines that the platform takes away.
        slots: The slots of an engine; 0 without engines.
    """

    present_by_group: EngineCounts
    leaving_by_group: EngineCounts
    reclaimed: frozenset[EngineGroup]
    slots: int

    def present(self, group: EngineGroup) -> int:
        """Returns how many engines of a group stay."""
        return self.present_by_group.get(group, 0)

    def listed(self, group: EngineGroup) -> int:
        """Returns how many engines of a group stay or leave."""
        return self.present(group) + self.leaving_by_group.get(group, 0)


class PresentPoint(NamedTuple):
    """The engines that were present at a point in monotonic time."""

    at: float
    present_by_group: EngineCounts


def record_present(
    points: tuple[PresentPoint, ...], listing: EngineListing, now: float
) -> tuple[PresentPoint, ...]:
    """Returns the points of the last `PRESENT_WINDOW_S` and a new one."""
    recent = (point for point in points if now - point.at <= PRESENT_WINDOW_S)
    return (*recent, PresentPoint(now, listing.present_by_group))


def highest_present(
    points: tuple[PresentPoint, ...],
) -> dict[EngineGroup, int]:
    """Returns the highest count of each group of on-demand engines."""
    highest: dict[EngineGroup, int] = {}
    for point in points:
        for group, count in point.present_by_group.items():
            if not group.interruptible:
                highest[group] = max(highest.get(group, 0), count)
    return highest


def is_list_usable(
    received_at: float, reconnected_at: float, max_age_s: float, now: float
) -> bool:
    """Returns whether the list shows all live engines.

    Args:
        received_at: When the last list arrived, in monotonic time.
        reconnected_at: When the store was last reached again after an outage.
        max_age_s: The age above which the store counts as out.
        now: The monotonic time.
    """
    return now - received_at <= max_age_s and now >= reconnected_at + SETTLE_S
