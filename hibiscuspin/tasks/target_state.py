"""Measurements of one target, as taken or received by this instance."""

import threading
from collections import OrderedDict
from typing import NamedTuple

from hibiscuspin.decisions import ewma
from hibiscuspin.decisions.ejection import Health
from hibiscuspin.decisions.ewma import Mean
from hibiscuspin.edges import EngineLoad

__all__ = ["PREFIX_CHARS", "LoadSnapshot", "TargetState"]

PREFIX_CHARS = 64
MAX_PREFIXES = 128
# A load report counts in full up to this age; then it decays by half-lives.
REPORT_FRESH_S = 1.0
REPORT_HALF_LIFE_S = 2.0


class LoadSnapshot(NamedTuple):
    """A load report and this instance's requests in flight at that time.

    Attributes:
        load: The report.
        own_in_flight: This instance's requests in flight on the target when
            the report arrived.
        taken_at: When the target took the report, by the monotonic clock.
    """

    load: EngineLoad
    own_in_flight: int
    taken_at: float


class TargetState:
    """The mutable state of one target.

    Not thread-safe: callers hold the lock of the owning `Targets`.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.load_snapshot: LoadSnapshot | None = None
        self.token_interval: Mean | None = None
        self.first_token_time: Mean | None = None
        self.health = Health()
        self.rollouts: list[threading.Event] = []
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def others_in_flight(self, now: float) -> float:
        """Returns others' requests in flight, decayed by the report's age."""
        if self.load_snapshot is None:
            return 0.0
        load = self.load_snapshot.load
        reported = load.running + load.queued - self.load_snapshot.own_in_flight
        age_s = max(0.0, now - self.load_snapshot.taken_at)
        stale_s = max(0.0, age_s - REPORT_FRESH_S)
        decay: float = 0.5 ** (stale_s / REPORT_HALF_LIFE_S)
        return max(0, reported) * decay

    def total_in_flight(self, now: float) -> float:
        """Returns the estimated requests in flight of all instances."""
        return self.in_flight + self.others_in_flight(now)

    def preempt(self, count: int) -> None:
        """Signals the `count` newest rollouts to move to other targets."""
        running = [event for event in self.rollouts if not event.is_set()]
        for event in running[len(running) - count :]:
            event.set()

    def record_first_token(self, seconds: float, now: float) -> None:
        """Records the time to a first token, or of a service's response."""
        self.first_token_time = ewma.add(self.first_token_time, seconds, now)

    def record_token_interval(self, seconds: float, now: float) -> None:
        """Records a token interval."""
        self.token_interval = ewma.add(self.token_interval, seconds, now)

    def record_prefix(self, prompt: str) -> None:
        """Records that the target was sent this prompt's prefix."""
        prefix = prompt[:PREFIX_CHARS]
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def has_prefix(self, prompt: str) -> bool:
        """Returns whether the target was recently sent this prompt's prefix."""
        return prompt[:PREFIX_CHARS] in self._prefixes
