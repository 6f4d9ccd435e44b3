"""Collects the figures of the reports for this instance."""

import threading
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple, TypeVar

from hibiscuspin.clock import Clock
from hibiscuspin.config import Document
from hibiscuspin.config.schema import ServiceLevel
from hibiscuspin.errors import RESPONSE_BY_KIND, ErrorKind, HibiscusError
from hibiscuspin.metrics import Metrics
from hibiscuspin.report.snapshot import (
    BUDGET_WINDOW,
    LONG_WINDOW,
    SHORT_WINDOW,
    WINDOWS_S,
    IdleTime,
    MeasurementSnapshot,
    OutcomeCount,
    StalenessCount,
)
from hibiscuspin.report.windows import SlidingCounts
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.spend import Spend

__all__ = [
    "Delivery",
    "DeliveredSample",
    "Measures",
    "counts_against_service_level",
]

T = TypeVar("T")

MINUTE_S = 60
HOUR_S = 3600
MINUTE_BUCKETS = 61
HOUR_BUCKETS = 30 * 24 + 1
TOO_SLOW = "too_slow"
TOO_MANY_REQUESTS_STATUS = 429
FIRST_SERVER_ERROR_STATUS = 500


class _RequestEnd(NamedTuple):
    level: str
    error: str
    target: str
    team: str


class Delivery(NamedTuple):
    """The trainer and step of a pull, and the cursor after it."""

    trainer: str
    team: str
    step: int
    cursor: int


class DeliveredSample(NamedTuple):
    """One sample of a pull: its staleness in versions and its duration."""

    staleness: int
    seconds: float
    engine: str


def counts_against_service_level(kind: ErrorKind) -> bool:
    """Returns whether an error counts against a service level.

    Rejections of invalid requests do not; nor does a caller that disconnects.
    """
    status = RESPONSE_BY_KIND[kind].status
    return (
        status >= FIRST_SERVER_ERROR_STATUS
        or status == TOO_MANY_REQUESTS_STATUS
    )


class Measures:
    """Counts request ends, staleness and idle time; thread-safe."""

    def __init__(
        self,
        instance: str,
        attempts: AttemptLog,
        metrics: Metrics,
        spend: Spend,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._attempts = attempts
        self._metrics = metrics
        self._spend = spend
        self._clock = clock
        self._lock = threading.Lock()
        self._levels_by_name: dict[str, ServiceLevel] = {}
        self._minutes: SlidingCounts[_RequestEnd] = SlidingCounts(
            MINUTE_S, MINUTE_BUCKETS
        )
        self._hours: SlidingCounts[_RequestEnd] = SlidingCounts(
            HOUR_S, HOUR_BUCKETS
        )
        self._staleness: Counter[tuple[str, int]] = Counter()
        self._cursors_by_step: dict[tuple[str, int], int] = {}
        self._waiting_s_by_trainer: dict[str, float] = {}
        self._first_pull_by_trainer: dict[str, float] = {}
        self._last_pull_by_trainer: dict[str, float] = {}

    def configure(self, document: Document) -> None:
        """Applies the service levels of a new configuration."""
        self._levels_by_name = document.config["service_levels_by_name"]

    def record_end(
        self,
        path: str,
        team: str,
        request_id: str,
        error: ErrorKind | None,
        seconds: float,
    ) -> None:
        """Counts the end of one request against its service levels."""
        if error is not None and not counts_against_service_level(error):
            return
        attempts = self._attempts.by_request(request_id)
        target = attempts[-1].target if attempts else ""
        self._count_end(path, team, target, error, seconds)

    def _count_end(
        self,
        path: str,
        team: str,
        target: str,
        error: ErrorKind | None,
        seconds: float,
    ) -> None:
        now_s = self._clock.wall()
        with self._lock:
            for name, level in self._levels_by_name.items():
                if level["kind"] == path:
                    code = _error_code(error, seconds, level)
                    end = _RequestEnd(name, code, target, team)
                    self._minutes.add(end, now_s)
                    self._hours.add(end, now_s)

    @contextmanager
    def measure_request(
        self, path: str, team: str, request_id: str
    ) -> Iterator[None]:
        """Measures the enclosed block as one request and counts its end."""
        started = self._clock.monotonic()
        error: ErrorKind | None = ErrorKind.CANCELLED
        try:
            yield
            error = None
        except HibiscusError as raised:
            error = raised.kind
            raise
        finally:
            seconds = self._clock.monotonic() - started
            self.record_end(path, team, request_id, error, seconds)

    def measure_stream(
        self, path: str, team: str, request_id: str, items: Iterable[T]
    ) -> Iterator[T]:
        """Yields `items` and counts the end of the request they belong to."""
        with self.measure_request(path, team, request_id):
            yield from items

    def record_delivery(
        self, delivery: Delivery, samples: Sequence[DeliveredSample]
    ) -> None:
        """Counts the samples of a pull; a repeated pull is not counted."""
        key = (delivery.trainer, delivery.step)
        with self._lock:
            if delivery.cursor <= self._cursors_by_step.get(key, 0):
                return
            self._cursors_by_step[key] = delivery.cursor
            self._staleness.update(
                (delivery.trainer, sample.staleness) for sample in samples
            )
        for sample in samples:
            self._metrics.observe("rollout", sample.seconds)
            self._count_end(
                "rollout", delivery.team, sample.engine, None, sample.seconds
            )

    def record_pull(self, trainer: str, started: float, ended: float) -> None:
        """Adds the duration of one pull; both times are monotonic."""
        with self._lock:
            waited_s = self._waiting_s_by_trainer.get(trainer, 0.0)
            self._waiting_s_by_trainer[trainer] = waited_s + ended - started
            self._first_pull_by_trainer.setdefault(trainer, started)
            self._last_pull_by_trainer[trainer] = ended

    def snapshot(self) -> MeasurementSnapshot:
        """Returns the current figures."""
        now_s = self._clock.wall()
        with self._lock:
            ends_by_window = {
                SHORT_WINDOW: self._minutes.counts_within(
                    WINDOWS_S[SHORT_WINDOW], now_s
                ),
                LONG_WINDOW: self._minutes.counts_within(
                    WINDOWS_S[LONG_WINDOW], now_s
                ),
                BUDGET_WINDOW: self._hours.counts_within(
                    WINDOWS_S[BUDGET_WINDOW], now_s
                ),
            }
            staleness = list(self._staleness.items())
            idle = [
                IdleTime(
                    trainer,
                    waited_s,
                    self._last_pull_by_trainer[trainer]
                    - self._first_pull_by_trainer[trainer],
                )
                for trainer, waited_s in self._waiting_s_by_trainer.items()
            ]
        return MeasurementSnapshot(
            instance=self._instance,
            taken_at_s=now_s,
            outcomes=[
                OutcomeCount(window, *end, requests)
                for window, ends in ends_by_window.items()
                for end, requests in ends.items()
            ],
            latencies_by_path=self._metrics.encode_histograms(),
            costs=self._spend.costs(),
            staleness=[StalenessCount(*key, n) for key, n in staleness],
            idle=idle,
        )


def _error_code(
    error: ErrorKind | None, seconds: float, level: ServiceLevel
) -> str:
    if error is not None:
        return str(error)
    return TOO_SLOW if seconds > level["latency_s"] else ""
