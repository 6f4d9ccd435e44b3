"""Runs of a sample: each generates it on one target, in a worker thread."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.samples import (
    End,
    Made,
    events_left,
    kept_events,
    urgency,
)
from hibiscuspin.edges import TargetError, Wait
from hibiscuspin.edges.discovery import Event, EventStream, PassedCall
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTargets, Target
from hibiscuspin.tasks.job_store import JobItem

__all__ = ["RunLimits", "Sample", "SampleRun"]

# Longer than the 0.9 s for which a weight load pauses an engine at full speed.
STALL_S = 1.4
# A request queues at a full engine for less than the duration of one sample.
FIRST_EVENT_S = 1.4
# Events arrive every 40 ms; reading several at once saves CPU time.
GATHER_S = 0.08
EVENTS_FOR_PACE = 5
PACE_PERIOD_S = 0.5

# Status codes of an engine for a sample that it ran or can never run.
END_BY_STATUS = {422: End.IMPOSSIBLE, 500: End.ERROR}

_log = get_logger("rollouts")


class Sample:
    """An item of a job, and the events that were generated for it so far."""

    def __init__(self, place: int, item: JobItem) -> None:
        self.place = place
        self.item = item
        self.made: list[Made] = []
        self.errors = 0
        self.avoid: set[str] = set()
        self.run: SampleRun | None = None
        self.finished = False

    def events_left(self, event_tokens: float) -> float:
        """Returns the expected number of remaining events."""
        return events_left(self.item.tokens / event_tokens, len(self.made))


class RunLimits(NamedTuple):
    """Parameters and limits that all runs of a job share.

    Attributes:
        host: The value of the Host header of requests to engines.
        model: The model.
        oldest_version: The oldest weight version that may generate a sample.
        single_version: Whether one version must generate a whole sample.
        submitted_at: When the job was submitted, in monotonic time.
        deadline: When samples are given up, in monotonic time.
        over: Returns whether the job has stopped on this instance.
    """

    host: str
    model: str
    oldest_version: int
    single_version: bool
    submitted_at: float
    deadline: float
    over: Callable[[], bool]


class _StoppedError(Exception):
    """The sample is to move to another target, or the job has stopped."""


class SampleRun:
    """One run of a sample on one target.

    Attributes:
        sample: The sample; the run appends events to it.
        target: The target.
        moved: Set to end the run, so that the sample continues on another
            target.
        detail: Why the run failed, for the log.
    """

    def __init__(
        self,
        sample: Sample,
        target: Target,
        targets: DiscoveredTargets,
        limits: RunLimits,
        clock: Clock,
    ) -> None:
        self.sample = sample
        self.target = target
        self.moved = threading.Event()
        self._targets = targets
        self._limits = limits
        self._clock = clock
        self.detail = ""

    def run(self) -> End:
        """Appends events to the sample until the run ends."""
        try:
            return self._run()
        except _StoppedError:
            return End.MOVED
        except TargetError as error:
            return self._after_error(error)
        finally:
            self._targets.end(self.target)

    def _run(self) -> End:
        sample = self.sample
        limits = self._limits
        version = self.target.version(limits.model)
        sample.made = kept_events(
            sample.made, limits.oldest_version, version, limits.single_version
        )
        after = sample.made[-1].number if sample.made else 0
        stream = self.target.calls.open(
            self._call(), after, self._wait(FIRST_EVENT_S)
        )
        try:
            return self._read(stream)
        finally:
            stream.close()

    def _call(self) -> PassedCall:
        item = self.sample.item
        headers: Mapping[str, str] = {**item.headers, "Host": self._limits.host}
        age_s = self._clock.monotonic() - self._limits.submitted_at
        return PassedCall(
            item.name,
            "POST",
            item.target,
            headers,
            item.body,
            urgency(self.sample.made, age_s),
        )

    def _wait(self, stall_s: float) -> Wait:
        return Wait(self._limits.deadline, stall_s, self._check)

    def _check(self) -> None:
        if self.moved.is_set() or self._limits.over():
            raise _StoppedError

    def _read(self, stream: EventStream) -> End:
        made = self.sample.made
        pace_at = 0.0
        pace_count = len(made)
        stall_s = FIRST_EVENT_S
        while True:
            self._check()
            events = stream.read(self._wait(stall_s))
            now = self._clock.monotonic()
            if not events:
                break
            for event in events:
                if not self._take(event):
                    return End.OUTDATED
            count = len(made) - pace_count
            if not pace_at:
                pace_at, pace_count, stall_s = now, len(made), STALL_S
            elif count >= EVENTS_FOR_PACE and now - pace_at >= PACE_PERIOD_S:
                pace = (now - pace_at) / count
                self._targets.succeeded(self.target, event_s=pace)
                pace_at, pace_count = now, len(made)
            self.moved.wait(GATHER_S)
        # Short runs end within the first period. Their event time is often the
        # best estimate for the target.
        count = len(made) - pace_count
        pace_s = now - pace_at
        known = pace_at and count >= EVENTS_FOR_PACE
        self._targets.succeeded(
            self.target, event_s=pace_s / count if known else None
        )
        return End.WHOLE if made else End.BROKEN

    def _take(self, event: Event) -> bool:
        """Appends an event; returns False if its version is not allowed."""
        limits = self._limits
        made = self.sample.made
        expected = made[-1].number + 1 if made else event.number
        if event.number is None or event.number != expected:
            raise TargetError(
                f"event {event.number} received, {expected} expected", sent=True
            )
        old = event.version < limits.oldest_version
        mixed = limits.single_version and any(
            known.version != event.version for known in made[-1:]
        )
        if old or mixed:
            made.clear()
            self.detail = f"version {event.version} is not allowed"
            return False
        made.append(Made(event.number, event.data, event.version))
        return True

    def _after_error(self, error: TargetError) -> End:
        self.detail = str(error)
        end = END_BY_STATUS.get(error.status)
        if end is not None and not error.refused:
            return end
        self._targets.note(self.target, error)
        return End.REFUSED if error.refused else End.BROKEN
