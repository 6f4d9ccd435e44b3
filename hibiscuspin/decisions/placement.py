"""Chooses the target of a call or a sample among the discovered targets.

Load pattern: targets of unequal speed, some slow, some silent, while one
instance sends most of the requests of a service itself. Its own request
counts are therefore exact, while load reports of the targets would lag behind.

Load pattern: most engines of a service are replaced by ones of newer software.
All samples that the old ones began wait for the few that are left, and each
expects to be next.
"""

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

from hibiscuspin.decisions.software import Software, may_continue

__all__ = [
    "CONTINUATION_WAIT_S",
    "SampleRequirements",
    "TargetView",
    "expected_call_s",
    "place_call",
    "place_sample",
]

# Decoding takes an eighth longer per event with a full batch than with one
# request.
FULL_LOAD_SLOWDOWN_FACTOR = 1.13
MIN_EVENT_S = 0.001
# How many started samples, which are sent as urgent, may queue at a target.
# Of a dozen slots, one becomes free within a tenth of a second.
MAX_STARTED_QUEUE = 3
SLOT_WAIT_S = 0.1
# How long a started sample waits for a target that can go on from its events
# while others have room.
CONTINUATION_WAIT_S = 1.5


class TargetView(NamedTuple):
    """What this instance knows about one target.

    Attributes:
        name: The target's name.
        slots: How many requests it can run concurrently.
        in_flight_here: Requests in flight from this instance.
        in_flight_elsewhere: Requests in flight from other instances, by
            their last reports.
        link_s: The round-trip time to it.
        answer_s: Expected time until the response to a call.
        event_s: Expected time between two events of a stream.
        version: The version of the weights that it serves; 0 for a plain
            service.
        backoff_until: Monotonic time until which it gets no requests, after
            a refusal or failure.
        sends: How many requests its limit allows this instance to send now;
            infinite without a limit.
        rate_per_s: The requests a second that it allows all instances
            together; infinite without a limit.
        suspects: This instance's requests in flight there that may crash it.
        software: What generates the events of its streams.
    """

    name: str
    slots: int
    in_flight_here: int = 0
    in_flight_elsewhere: int = 0
    link_s: float = 0.0
    answer_s: float = 0.0
    event_s: float = 0.0
    version: int = 0
    backoff_until: float = 0.0
    sends: float = math.inf
    rate_per_s: float = math.inf
    suspects: int = 0
    software: Software | None = None

    @property
    def is_limited(self) -> bool:
        """Whether it names a request limit."""
        return math.isfinite(self.sends)

    def events_per_s(self, sample_events: float) -> float:
        """Returns how many events of samples it can generate per second.

        Args:
            sample_events: The mean number of events of a sample.
        """
        by_slots = self.slots / max(self.event_s, MIN_EVENT_S)
        return min(by_slots, self.rate_per_s * sample_events)

    @property
    def free_slots(self) -> int:
        """Slots that no known request occupies; may be negative."""
        return self.slots - self.in_flight_here - self.in_flight_elsewhere


class SampleRequirements(NamedTuple):
    """The requirements of a sample on its target.

    Attributes:
        oldest_version: The oldest weight version that may generate it.
        events: The expected number of events.
        preferred_target: The target that has its group's prompt cached, or
            an empty string.
        avoid: Names of the targets that it has just left.
        generated: How many events it has. A target that may continue it gets
            it as urgent, and may queue it without a free slot.
        begun_by: What generated these events.
        may_begin_anew: Whether it has waited long enough for a target that
            can go on from its events.
    """

    oldest_version: int
    events: float
    preferred_target: str = ""
    avoid: Collection[str] = ()
    generated: int = 0
    begun_by: Software | None = None
    may_begin_anew: bool = False

    def keeps_events(self, view: TargetView) -> bool:
        """Returns whether the sample can go on from its events at a target."""
        return self.generated > 0 and may_continue(self.begun_by, view.software)

    def events_at(self, view: TargetView) -> float:
        """Returns how many events a target would have to generate."""
        if self.keeps_events(view):
            return self.events
        return self.events + self.generated


def expected_call_s(view: TargetView) -> float:
    """Returns the expected time until the response to a call placed now."""
    queued = max(0, 1 - view.free_slots)
    load = (view.in_flight_here + view.in_flight_elsewhere) / max(1, view.slots)
    return view.link_s + view.answer_s * (1 + queued + 0.5 * load)


def place_call(
    views: Sequence[TargetView],
    tried: Collection[str],
    now: float,
    *,
    unlimited_only: bool = False,
    suspect: bool = False,
) -> TargetView | None:
    """Returns the target expected to respond to a call first, or None.

    Targets in backoff are used only if no other target is left, and targets
    that name a limit only if the others have no free slot.

    Args:
        views: The targets.
        tried: Names of the targets that have had the call.
        now: The monotonic time.
        unlimited_only: Whether to leave out targets that name a limit.
        suspect: Whether the call may crash its target. It then goes where
            the fewest requests would be cut off with it.
    """
    untried = [
        view
        for view in views
        if view.name not in tried
        and view.sends >= (math.inf if unlimited_only else 1)
    ]
    available = [view for view in untried if view.backoff_until <= now]
    pool = available or untried
    unlimited = [view for view in pool if not view.is_limited]
    if any(view.free_slots > 0 for view in unlimited):
        pool = unlimited
    if suspect:
        return min(
            pool,
            key=lambda v: (v.suspects, -v.free_slots, v.name),
            default=None,
        )
    return min(pool, key=lambda v: (expected_call_s(v), v.name), default=None)


def place_sample(
    views: Sequence[TargetView], requirements: SampleRequirements, now: float
) -> TargetView | None:
    """Returns the target on which a sample should finish first, or None.

    Processing a shared prompt takes little time compared with generating the
    sample. The preferred target therefore only decides between targets with
    about the same expected finish.

    At a target that can't go on from the sample's events, they have to be
    generated again. Where it finishes sooner by waiting for one that can, and
    none of these has room, none is returned, unless it has waited long enough.
    """
    capable = [
        view
        for view in views
        if view.version >= requirements.oldest_version and view.sends >= 1
    ]
    keeping = [view for view in capable if requirements.keeps_events(view)]
    others = [view for view in capable if not requirements.keeps_events(view)]
    other = _best_with_room(others, requirements, now)
    if not keeping:
        return other
    finish_s = min(
        _wait_s(view, requirements, now) + _finish_s(view, requirements)
        for view in keeping
    )
    if other is not None and _finish_s(other, requirements) < finish_s:
        return other
    kept = _best_with_room(keeping, requirements, now)
    if kept is None and requirements.may_begin_anew:
        return other
    return kept


def _best_with_room(
    views: Sequence[TargetView], requirements: SampleRequirements, now: float
) -> TargetView | None:
    suitable = [
        view
        for view in views
        if view.free_slots >= _min_free_slots(view, requirements)
        and view.backoff_until <= now
    ]
    not_avoided = [
        view for view in suitable if view.name not in requirements.avoid
    ]
    return min(
        not_avoided or suitable,
        key=lambda view: _sample_key(view, requirements),
        default=None,
    )


def _wait_s(
    view: TargetView, requirements: SampleRequirements, now: float
) -> float:
    """Returns how long a sample would wait for a place at a target."""
    missing = _min_free_slots(view, requirements) - view.free_slots
    return max(0.0, view.backoff_until - now) + max(0, missing) * SLOT_WAIT_S


def _min_free_slots(view: TargetView, requirements: SampleRequirements) -> int:
    return 1 - MAX_STARTED_QUEUE if requirements.keeps_events(view) else 1


def _sample_key(
    view: TargetView, requirements: SampleRequirements
) -> tuple[bool, bool, float, bool, float, str]:
    return (
        view.free_slots <= 0,
        view.is_limited,
        round(_finish_s(view, requirements), 1),
        view.name != requirements.preferred_target,
        _load(view),
        view.name,
    )


def _load(view: TargetView) -> float:
    return (view.slots - view.free_slots) / max(1, view.slots)


def _finish_s(view: TargetView, requirements: SampleRequirements) -> float:
    """Returns how long a target takes for the rest of a sample."""
    slowdown = 1 + (FULL_LOAD_SLOWDOWN_FACTOR - 1) * _load(view)
    events = requirements.events_at(view)
    return events * view.event_s * slowdown + view.link_s
