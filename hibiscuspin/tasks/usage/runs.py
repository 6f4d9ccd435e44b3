"""Finds out when targets began to run the requests of organisations."""

import threading
from collections import deque
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.usage import windows
from hibiscuspin.edges import TargetError
from hibiscuspin.tasks.usage.recorder import UsageRecorder

__all__ = ["RequestRuns", "RunTracker"]

RECENT_RESPONSES = 32
# A request that runs for longer is recorded before its response, which may
# come after its window was reported.
LONG_RUN_S = 1.5
# Targets that are gone are forgotten with the others when there are more.
MAX_TARGETS = 10_000


class _Run(NamedTuple):
    """An attempt at a target; all times are monotonic.

    Attributes:
        target: The target's name.
        round_trip_s: The round-trip time of the link to it.
        sent_at: When the attempt was sent.
        answered_at: When its response or first event arrived, if one has.
        is_refused: Whether it certainly did not run.
    """

    target: str
    round_trip_s: float
    sent_at: float
    answered_at: float | None = None
    is_refused: bool = False


class RunTracker:
    """Tracks the attempts of all requests of one instance; thread-safe."""

    def __init__(
        self, recorder: UsageRecorder, clock: Clock, *, streams: bool = False
    ) -> None:
        """Creates the tracker.

        Args:
            recorder: Records the requests.
            clock: The time source.
            streams: Whether the responses are streams, which start with their
                first event.
        """
        self._recorder = recorder
        self._clock = clock
        self._streams = streams
        self._lock = threading.Lock()
        self._recent_by_target: dict[str, deque[float]] = {}

    def track(self, request_id: str, organisation: str) -> "RequestRuns":
        """Returns where the attempts of one request are noted.

        Args:
            request_id: The caller's id of the request.
            organisation: The organisation that sent it; empty if it does not
                count.
        """
        return RequestRuns(self, request_id, organisation, self._clock)

    def record(self, request_id: str, organisation: str, run: _Run) -> None:
        """Records a request by its first run."""
        began_at = windows.began_at(
            run.sent_at, run.answered_at, run.round_trip_s, self._usual_s(run)
        )
        self._recorder.record(request_id, organisation, began_at)

    def _usual_s(self, run: _Run) -> float | None:
        with self._lock:
            recent = list(self._recent_by_target.get(run.target, ()))
        if self._streams:
            return windows.usual_first_event_s(recent, run.round_trip_s)
        return windows.usual_response_s(recent)

    def add_response(self, target: str, took_s: float) -> None:
        """Adds to the recent response times of a target."""
        with self._lock:
            if len(self._recent_by_target) > MAX_TARGETS:
                self._recent_by_target.clear()
            self._recent_by_target.setdefault(
                target, deque(maxlen=RECENT_RESPONSES)
            ).append(took_s)


class RequestRuns:
    """The attempts of one request; thread-safe."""

    def __init__(
        self,
        tracker: RunTracker,
        request_id: str,
        organisation: str,
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._request_id = request_id
        self._organisation = organisation
        self._clock = clock
        self._lock = threading.Lock()
        self._runs: list[_Run] = []
        self._is_recorded = not organisation

    def sent(self, target: str, round_trip_s: float) -> int:
        """Notes that an attempt is sent now; returns its number."""
        with self._lock:
            run = _Run(target, round_trip_s, self._clock.monotonic())
            self._runs.append(run)
            return len(self._runs) - 1

    def failed(self, number: int, error: TargetError) -> None:
        """Notes that an attempt failed."""
        with self._lock:
            if error.refused or not error.sent:
                self._runs[number] = self._runs[number]._replace(
                    is_refused=True
                )

    def answered(self, number: int) -> None:
        """Notes that a response, or a stream's first event, arrived now."""
        now = self._clock.monotonic()
        with self._lock:
            run = self._runs[number]._replace(answered_at=now)
            self._runs[number] = run
        self.check()
        self._tracker.add_response(run.target, now - run.sent_at)

    def check(self) -> None:
        """Records the request if its start is known, or if it runs long."""
        run = self._first()
        if run is None:
            return
        late_at = run.sent_at + LONG_RUN_S
        if run.answered_at is not None or self._clock.monotonic() >= late_at:
            self._record(run)

    def finish(self) -> None:
        """Records the request if a target may have run it."""
        run = self._first()
        if run is not None:
            self._record(run)

    def _first(self) -> _Run | None:
        """Returns the first attempt that may have run."""
        with self._lock:
            if self._is_recorded:
                return None
            runs = (run for run in self._runs if not run.is_refused)
            return next(runs, None)

    def _record(self, run: _Run) -> None:
        with self._lock:
            if self._is_recorded:
                return
            self._is_recorded = True
        self._tracker.record(self._request_id, self._organisation, run)
