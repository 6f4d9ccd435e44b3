"""Chooses the target of a call or of a sample among discovered targets.

Load pattern: targets of unequal speed, some slow, some silent, while one
instance sends most of a service's work itself. Its own counts are therefore
exact, and what targets say of themselves would lag behind.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = [
    "SampleNeed",
    "TargetView",
    "expected_call_s",
    "place_call",
    "place_sample",
]

# Half of a sample's work at the pace of a target whose slots are all taken:
# decoding slows by an eighth from one request to a full batch.
FULL_PACE_FACTOR = 1.13
# Urgent samples that may wait at a target; one in a dozen places is free
# again within a tenth of a second.
BEGUN_QUEUE = 3


class TargetView(NamedTuple):
    """What this instance knows of one target.

    Attributes:
        name: The target's name.
        slots: How many requests it runs at once.
        open_here: Requests that this instance has open on it.
        open_elsewhere: Requests of other instances, as they last said.
        link_s: The round trip to it.
        answer_s: Usual time of a call's answer.
        event_s: Usual time between two events of a stream.
        version: The weights that it serves; 0 for a plain service.
        rests_until: When it may take work again, after a refusal or failure.
    """

    name: str
    slots: int
    open_here: int = 0
    open_elsewhere: int = 0
    link_s: float = 0.0
    answer_s: float = 0.0
    event_s: float = 0.0
    version: int = 0
    rests_until: float = 0.0

    @property
    def free(self) -> int:
        """Places that no known request takes."""
        return self.slots - self.open_here - self.open_elsewhere


class SampleNeed(NamedTuple):
    """What a sample asks of its target.

    Attributes:
        oldest_version: The oldest weights that may make it.
        events: How many events are expected of it.
        home: The target that has its group's prompt, or an empty string.
        begun: Whether it has events already; it is sent as urgent, and may
            so wait at a target whose places are taken.
        avoid: Targets that it has just left.
    """

    oldest_version: int
    events: float
    home: str = ""
    begun: bool = False
    avoid: Collection[str] = ()


def expected_call_s(view: TargetView) -> float:
    """Returns when a call placed now is expected to be answered."""
    queued = max(0, 1 - view.free)
    load = (view.open_here + view.open_elsewhere) / max(1, view.slots)
    return view.link_s + view.answer_s * (1 + queued + 0.5 * load)


def place_call(
    views: Sequence[TargetView], tried: Collection[str], now: float
) -> TargetView | None:
    """Returns the target that should answer a call first, or None.

    Targets that rest are used only where no other is left.
    """
    left = [view for view in views if view.name not in tried]
    awake = [view for view in left if view.rests_until <= now]
    pool = awake or left
    return min(pool, key=lambda v: (expected_call_s(v), v.name), default=None)


def place_sample(
    views: Sequence[TargetView], need: SampleNeed, now: float
) -> TargetView | None:
    """Returns the target on which a sample should end first, or None.

    The time of reading a shared prompt is small against a sample's; a
    group's home therefore decides only between targets that are alike.
    """
    least = 1 - BEGUN_QUEUE if need.begun else 1
    fit = [
        view
        for view in views
        if view.free >= least
        and view.version >= need.oldest_version
        and view.rests_until <= now
    ]
    other = [view for view in fit if view.name not in need.avoid]
    return min(
        other or fit, key=lambda view: _sample_key(view, need), default=None
    )


def _sample_key(
    view: TargetView, need: SampleNeed
) -> tuple[bool, float, bool, float, str]:
    fill = (view.slots - view.free) / max(1, view.slots)
    pace = view.event_s * (1 + (FULL_PACE_FACTOR - 1) * fill)
    finish_s = round(need.events * pace + view.link_s, 1)
    return (view.free <= 0, finish_s, view.name != need.home, fill, view.name)
