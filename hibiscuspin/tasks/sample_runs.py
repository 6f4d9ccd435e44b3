"""Runs of samples: each generates events on one target in a worker thread."""

import math
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.samples import (
    RunOutcome,
    SampleEvent,
    distinct_versions,
    remaining_events,
    reusable_events,
    software_of,
    urgency,
)
from hibiscuspin.decisions.saved_samples import SavedSample
from hibiscuspin.decisions.software import Software
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    EventStream,
    ProxiedRequest,
    ServerSentEvent,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTarget, DiscoveredTargets
from hibiscuspin.tasks.incarnations import serving_software
from hibiscuspin.tasks.job_store import JobItem

__all__ = ["RunLimits", "Sample", "SampleFailures", "SampleRun"]

# Longer than the 0.9 s for which a weight load at full speed pauses an engine.
STALL_TIMEOUT_S = 1.4
# A request queues at a full engine for less than the duration of one sample.
FIRST_EVENT_TIMEOUT_S = 1.4
# Events arrive every 40 ms; reading several at once saves CPU time.
READ_INTERVAL_S = 0.08
MIN_TIMED_EVENTS = 5
TIMING_PERIOD_S = 0.5

# An engine's own status codes: 422 if it can never run the sample, 500 if it
# ran the sample and failed.
OUTCOME_BY_STATUS = {422: RunOutcome.IMPOSSIBLE, 500: RunOutcome.ERROR}

_log = get_logger("rollouts")


class _Text(NamedTuple):
    """A beginning of a sample's text; runs append to its events."""

    beginning: int
    events: list[SampleEvent]


class SampleFailures(NamedTuple):
    """How a sample has failed so far.

    Attributes:
        errors: How many of its runs ended with an error of the engine.
        given_up: Whether its result is that it failed.
    """

    errors: int = 0
    given_up: bool = False


class Sample:
    """An item of a job, and the events that were generated for it so far.

    Attributes:
        continues_until: Until when it waits for a target that can go on from
            its events, in monotonic time; infinite while it runs.
        complete: Whether all events were generated.
        completed_at: When that was noticed, in monotonic time.
        saved_complete: Whether it was saved for the next holder as complete.
        recorded_failures: Its failures that this holder has recorded for the
            next one.
        score: The score of a complete sample; None while it has none.
        scoring: Whether the sample is queued for scoring.
        finished: Whether its result was passed to the writer.
        given_up: Whether its result is that it failed.
    """

    def __init__(self, index: int, item: JobItem) -> None:
        self.index = index
        self.item = item
        # Replaced as a whole: other threads read it while a run changes it.
        self._text = _Text(0, [])
        self._dropped_events = 0
        self.errors = 0
        self.avoided_targets: set[str] = set()
        self.continues_until = math.inf
        self.run: SampleRun | None = None
        self.complete = False
        self.completed_at = 0.0
        self.saved_complete = False
        self.recorded_failures = SampleFailures()
        self.score: str | None = None
        self.scoring = False
        self.finished = False
        self.given_up = False

    @property
    def events(self) -> list[SampleEvent]:
        """The events of its text."""
        return self._text.events

    @property
    def has_begun(self) -> bool:
        """Whether its record differs from that of a new sample."""
        has_text = bool(self.events) or self._text.beginning > 0
        return has_text or self.has_failed

    @property
    def has_failed(self) -> bool:
        """Whether an engine failed to run it, or it was given up."""
        return self.errors > 0 or self.given_up

    @property
    def failures(self) -> SampleFailures:
        """How it has failed so far."""
        return SampleFailures(self.errors, self.given_up)

    @property
    def has_unrecorded_failure(self) -> bool:
        """Whether the next holder would not know of its last failure."""
        return self.has_failed and self.failures != self.recorded_failures

    def begin_anew(self) -> None:
        """Drops the text, which no run may continue."""
        beginning, events = self._text
        self._dropped_events += len(events)
        self._text = _Text(beginning + 1, [])

    def record(self) -> SavedSample:
        """Returns what the next holder of the job needs to know."""
        # A run may append events meanwhile, but not to a complete sample.
        score = (self.score or "") if self.complete else None
        beginning, events = self._text
        return SavedSample(
            list(events), score, beginning, self.errors, self.given_up
        )

    def restore(self, record: SavedSample) -> None:
        """Continues from the record of an earlier holder."""
        self._text = _Text(record.beginning, list(record.events))
        self.complete = record.score is not None
        self.score = record.score or None
        self.errors = record.errors
        self.given_up = record.given_up

    @property
    def needs_run(self) -> bool:
        """Whether it waits for a run on an engine.

        After an error it runs again only once that is on record, so that the
        loss of its holder makes at most one error forgotten.
        """
        if self.run is not None or self.complete or self.finished:
            return False
        return not self.has_unrecorded_failure

    @property
    def progress(self) -> int:
        """How much a holder that takes over from the last save would miss.

        Each generated event and its score count as one. Failures are recorded
        by themselves.
        """
        generated = self._dropped_events + len(self.events)
        return generated + (self.score is not None)

    @property
    def begun_by(self) -> Software | None:
        """What generated its events; None without events."""
        return software_of(self.events)

    @property
    def versions(self) -> tuple[int, ...]:
        """The weight versions of its events, in ascending order."""
        return distinct_versions(self.events)

    @property
    def software_versions(self) -> tuple[str, ...]:
        """The software versions of its events; more than one is a fault."""
        known = (event.software for event in self.events)
        return tuple(sorted({s.version if s else "" for s in known}))

    @property
    def text(self) -> str:
        """The data of its events, one a line."""
        return "\n".join(event.data for event in self.events)

    def remaining_events(self, tokens_per_event: float) -> float:
        """Returns the expected number of remaining events."""
        return remaining_events(
            self.item.tokens / tokens_per_event, len(self.events)
        )


class RunLimits(NamedTuple):
    """Parameters and limits that all runs of a job share.

    Attributes:
        host: The value of the Host header of requests to engines.
        model: The model.
        oldest_version: The oldest weight version that may generate a sample.
        single_version: Whether all events of a sample must have the same
            weight version.
        submitted_at: When the job was submitted, in monotonic time.
        deadline: When samples are given up, in monotonic time.
        stopped: Returns whether the job has stopped on this instance.
        organisation: The organisation that submitted it; empty for none.
    """

    host: str
    model: str
    oldest_version: int
    single_version: bool
    submitted_at: float
    deadline: float
    stopped: Callable[[], bool]
    organisation: str = ""


class _RunStoppedError(Exception):
    """The sample is to move to another target, or the job has stopped."""


class SampleRun:
    """One run of a sample on one target.

    Attributes:
        sample: The sample; the run appends events to it.
        target: The target.
        move_requested: Set to end the run, so that the sample continues on
            another target.
        detail: Why the run failed, for the log.
        created_at: When it was created, in monotonic time.
        first_event_at: When its first event was read; None before that.
        last_answer_at: When the target last sent something, or the run was
            created, in monotonic time.
    """

    def __init__(
        self,
        sample: Sample,
        target: DiscoveredTarget,
        targets: DiscoveredTargets,
        limits: RunLimits,
        clock: Clock,
    ) -> None:
        self.sample = sample
        self.target = target
        self.move_requested = threading.Event()
        self._targets = targets
        self._limits = limits
        self._clock = clock
        # What generates the events; None if that turns out to be unknown.
        self._software: Software | None = target.software
        self.detail = ""
        self.created_at = clock.monotonic()
        self.first_event_at: float | None = None
        self.last_answer_at = self.created_at

    def run(self) -> RunOutcome:
        """Appends events to the sample until the run ends."""
        try:
            return self._run()
        except _RunStoppedError:
            return RunOutcome.MOVED
        except TargetError as error:
            return self._outcome_of_error(error)
        finally:
            self._targets.request_ended(self.target)

    def _run(self) -> RunOutcome:
        sample = self.sample
        limits = self._limits
        self.target.check_accepts_work()
        version = self.target.version(limits.model)
        generated = len(sample.events)
        if generated and not reusable_events(
            sample.events,
            limits.oldest_version,
            version,
            limits.single_version,
            self.target.software,
        ):
            sample.begin_anew()
            self._log_dropped(generated)
        after = sample.events[-1].number if sample.events else 0
        stream = self.target.client.open_stream(
            self._build_request(),
            after,
            self._wait_limits(FIRST_EVENT_TIMEOUT_S),
        )
        try:
            software = serving_software(self.target, stream, self._clock)
            if sample.events and software != self._software:
                raise TargetError(
                    "target may have other software than listed", sent=True
                )
            self._software = software
            return self._read_events(stream)
        finally:
            stream.close()

    def _log_dropped(self, count: int) -> None:
        _log.info(
            "Sample begins anew: its target can't go on from its events.",
            extra={
                "request_id": self.sample.item.name,
                "target": self.target.name,
                "software_version": self.target.software.version,
                "dropped_events": count,
            },
        )

    def _build_request(self) -> ProxiedRequest:
        item = self.sample.item
        headers: Mapping[str, str] = {**item.headers, "Host": self._limits.host}
        age_s = self._clock.monotonic() - self._limits.submitted_at
        return ProxiedRequest(
            item.name,
            "POST",
            item.target,
            headers,
            item.body,
            urgency(self.sample.events, age_s),
            organisation=self._limits.organisation,
        )

    def _wait_limits(self, stall_s: float) -> WaitLimits:
        return WaitLimits(
            self._limits.deadline, stall_s, self._raise_if_stopped
        )

    def _raise_if_stopped(self) -> None:
        if self.move_requested.is_set() or self._limits.stopped():
            raise _RunStoppedError

    def _read_events(self, stream: EventStream) -> RunOutcome:
        sample_events = self.sample.events
        timing_started_at = 0.0
        timing_start_count = len(sample_events)
        stall_s = FIRST_EVENT_TIMEOUT_S
        while True:
            self._raise_if_stopped()
            events = stream.read(self._wait_limits(stall_s))
            now = self._clock.monotonic()
            self.last_answer_at = now
            if not events:
                break
            for event in events:
                if not self._append_event(event):
                    return RunOutcome.OUTDATED
            count = len(sample_events) - timing_start_count
            if self.first_event_at is None:
                self.first_event_at = now
            if not timing_started_at:
                timing_started_at, timing_start_count, stall_s = (
                    now,
                    len(sample_events),
                    STALL_TIMEOUT_S,
                )
            elif (
                count >= MIN_TIMED_EVENTS
                and now - timing_started_at >= TIMING_PERIOD_S
            ):
                event_s = (now - timing_started_at) / count
                self._targets.record_success(self.target, event_s=event_s)
                timing_started_at, timing_start_count = now, len(sample_events)
            self.move_requested.wait(READ_INTERVAL_S)
        # Short runs end within the first period. Their event time is often the
        # best estimate for the target.
        count = len(sample_events) - timing_start_count
        elapsed_s = now - timing_started_at
        timed = timing_started_at and count >= MIN_TIMED_EVENTS
        self._targets.record_success(
            self.target, event_s=elapsed_s / count if timed else None
        )
        return RunOutcome.WHOLE if sample_events else RunOutcome.BROKEN

    def _append_event(self, event: ServerSentEvent) -> bool:
        """Appends an event; returns False if its version is not allowed."""
        limits = self._limits
        events = self.sample.events
        expected = events[-1].number + 1 if events else 1
        if event.number is None or event.number != expected:
            raise TargetError(
                f"event {event.number} received, {expected} expected", sent=True
            )
        is_outdated = event.version < limits.oldest_version
        is_mixed = limits.single_version and any(
            previous.version != event.version for previous in events[-1:]
        )
        if is_outdated or is_mixed:
            self.sample.begin_anew()
            self.detail = f"version {event.version} is not allowed"
            return False
        events.append(
            SampleEvent(event.number, event.data, event.version, self._software)
        )
        return True

    def _outcome_of_error(self, error: TargetError) -> RunOutcome:
        self.detail = str(error)
        outcome = OUTCOME_BY_STATUS.get(error.status)
        if outcome is not None and not error.refused:
            return outcome
        self._targets.record_error(
            self.target, error, self.sample.item.name, self.last_answer_at
        )
        return RunOutcome.REFUSED if error.refused else RunOutcome.BROKEN
