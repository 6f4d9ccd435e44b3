"""Scores complete samples: one bounded queue, and one thread per call.

`decisions/scoring.py` decides which samples are scored next and what follows
a failed attempt. A sample that waits for its score occupies no thread.
"""

import enum
import queue
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Generic, NamedTuple, TypeVar

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import scoring
from hibiscuspin.decisions.scoring import (
    RetryAction,
    RetryLimits,
    ScoringAttempts,
    UnscoredSample,
)
from hibiscuspin.edges import Scorer, ScoringError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics

__all__ = [
    "MAX_BACKLOG",
    "MAX_PARALLEL_CALLS",
    "Scoring",
    "ScoringRequest",
    "ServiceCapacity",
]

MAX_PARALLEL_CALLS = 32
MAX_BACKLOG = 512
# Load reports of other instances arrive this often.
CAPACITY_POLL_S = 0.2
METRICS_PATH = "score"

T = TypeVar("T")

# Returns how many more calls may be sent to a service, given the numbers of
# scoring calls in flight to it and of those that wait.
ServiceCapacity = Callable[[str, int, int], int]

_log = get_logger("rollouts")


class ScoringRequest(NamedTuple, Generic[T]):
    """A complete sample to score.

    Attributes:
        request_id: The sample's id.
        scorer: Scores it.
        limits: When to give up.
        due_at: When the results of its step are due, in monotonic time.
        expires_at: When scoring is given up at the latest.
        unfinished_in_group: Returns the unfinished samples of its group.
        cancelled: Returns whether the score is no longer needed.
        on_scored: Called with the score, or None if it was given up; not
            called after a cancellation or stop.
    """

    request_id: str
    scorer: Scorer[T]
    limits: RetryLimits
    due_at: float
    expires_at: float
    unfinished_in_group: Callable[[], int]
    cancelled: Callable[[], bool]
    on_scored: Callable[[T | None], None]


class _QueuedSample:
    """A request in the queue, with its failed attempts."""

    def __init__(self, request: ScoringRequest[Any], queued_at: float) -> None:
        self.request = request
        self.queued_at = queued_at
        self.retry_at = 0.0
        self.attempts = ScoringAttempts()

    def attempt(self, deadline: float) -> ScoringError | None:
        """Scores the sample; returns why that failed."""
        try:
            score = self.request.scorer.score(deadline)
        except ScoringError as error:
            self.attempts = ScoringAttempts(
                self.attempts.failures + 1,
                self.attempts.server_errors + error.server_errors,
            )
            return error
        self.request.on_scored(score)
        return None


class AttemptOutcome(enum.StrEnum):
    """The outcome of an attempt to score a sample, in logs and metrics."""

    SCORED = "scored"
    RETRY = "retry"
    GIVE_UP = "give_up"
    CANCELLED = "cancelled"


class _AttemptEnd(NamedTuple):
    """The end of an attempt; `error` is None if the sample is scored."""

    number: int
    error: ScoringError | None
    took_s: float


class Scoring:
    """The queue of samples to score, of all jobs and steps of an instance."""

    name = "scoring"

    def __init__(
        self, clock: Clock, capacity: ServiceCapacity, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._metrics = metrics
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="scoring"
        )
        self._inbox: queue.SimpleQueue[
            ScoringRequest[Any] | _AttemptEnd | None
        ] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._backlog = 0
        self._next_number = 0
        self._queued_by_number: dict[int, _QueuedSample] = {}
        self._in_flight_by_number: dict[int, _QueuedSample] = {}

    @property
    def backlog(self) -> int:
        """Samples that wait for their score or are being scored."""
        return self._backlog

    def offer(self, request: ScoringRequest[T]) -> bool:
        """Queues a sample; returns False if the queue is full."""
        with self._lock:
            if self._backlog >= MAX_BACKLOG:
                return False
            self._backlog += 1
        self._inbox.put(request)
        return True

    def run(self, stop: threading.Event) -> None:
        """Starts calls until `stop` is set, then waits for those in flight."""
        while not stop.is_set():
            self._receive()
            self._drop_unneeded()
            self._start_calls()
        self._executor.shutdown()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._inbox.put(None)

    def _receive(self) -> None:
        """Handles all messages; waits for the first while nothing is due."""
        try:
            message = self._inbox.get(timeout=self._wait_s())
            while True:
                if isinstance(message, _AttemptEnd):
                    self._handle_end(message)
                elif message is not None:
                    sample = _QueuedSample(message, self._clock.monotonic())
                    self._queued_by_number[self._next_number] = sample
                    self._next_number += 1
                message = self._inbox.get_nowait()
        except queue.Empty:
            return

    def _wait_s(self) -> float | None:
        return CAPACITY_POLL_S if self._queued_by_number else None

    def _handle_end(self, end: _AttemptEnd) -> None:
        sample = self._in_flight_by_number.pop(end.number)
        request = sample.request
        outcome = AttemptOutcome.SCORED
        if end.error is not None:
            outcome = self._handle_failure(end.number, sample, end.error)
        if outcome is not AttemptOutcome.RETRY:
            self._remove()
        now = self._clock.monotonic()
        self._metrics.requests.labels(METRICS_PATH, outcome).inc()
        self._metrics.observe(METRICS_PATH, end.took_s)
        _log.info(
            "Attempt to score a sample ended.",
            extra={
                "request_id": request.request_id,
                "score_id": request.scorer.request_id,
                "targets": request.scorer.targets,
                "outcome": str(outcome),
                "took_s": round(end.took_s, 4),
                "text_age_s": round(now - sample.queued_at, 4),
                "failures": sample.attempts.failures,
                "server_errors": sample.attempts.server_errors,
                "reason": str(end.error or ""),
            },
        )

    def _handle_failure(
        self, number: int, sample: _QueuedSample, error: ScoringError
    ) -> AttemptOutcome:
        """Queues the sample again or gives it up."""
        request = sample.request
        if request.cancelled():
            return AttemptOutcome.CANCELLED
        decision = scoring.after_failure(
            sample.attempts,
            request.limits,
            error.retry_after_s,
            self._clock.monotonic(),
        )
        if decision.action is RetryAction.RETRY:
            sample.retry_at = decision.retry_at
            self._queued_by_number[number] = sample
            return AttemptOutcome.RETRY
        request.on_scored(None)
        return AttemptOutcome.GIVE_UP

    def _remove(self) -> None:
        with self._lock:
            self._backlog -= 1

    def _drop_unneeded(self) -> None:
        now = self._clock.monotonic()
        for number, sample in list(self._queued_by_number.items()):
            expired = now >= sample.request.expires_at
            if expired or sample.request.cancelled():
                del self._queued_by_number[number]
                self._remove()
                if expired:
                    sample.request.on_scored(None)

    def _start_calls(self) -> None:
        now = self._clock.monotonic()
        in_flight = Counter(
            sample.request.scorer.service
            for sample in self._in_flight_by_number.values()
        )
        waiting = Counter(
            sample.request.scorer.service
            for sample in self._queued_by_number.values()
        )
        for service, count in waiting.items():
            allowed = min(
                self._capacity(service, in_flight[service], count),
                MAX_PARALLEL_CALLS - len(self._in_flight_by_number),
            )
            if allowed <= 0:
                continue
            ready = self._ready_samples(service, now)
            for number in scoring.score_order(ready)[:allowed]:
                sample = self._queued_by_number.pop(number)
                self._in_flight_by_number[number] = sample
                self._executor.submit(self._attempt, number, sample)

    def _ready_samples(self, service: str, now: float) -> list[UnscoredSample]:
        return [
            UnscoredSample(
                number,
                sample.request.unfinished_in_group(),
                sample.request.due_at,
            )
            for number, sample in self._queued_by_number.items()
            if sample.retry_at <= now
            and sample.request.scorer.service == service
        ]

    def _attempt(self, number: int, sample: _QueuedSample) -> None:
        started = self._clock.monotonic()
        error: ScoringError | None
        try:
            error = sample.attempt(sample.request.expires_at)
        except Exception as failure:
            _log.exception(
                "Attempt to score a sample failed unexpectedly.",
                extra={"request_id": sample.request.request_id},
            )
            error = ScoringError(f"unexpected error: {failure!r}")
        took_s = self._clock.monotonic() - started
        self._inbox.put(_AttemptEnd(number, error, took_s))
