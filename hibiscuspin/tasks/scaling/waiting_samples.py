"""The samples that wait for a slot at all job holders."""

import threading
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.tasks.local_job import LocalJob

__all__ = ["WaitingSamples", "no_services"]

# Holders report five times a second; some reports are lost.
REPORT_TTL_S = 1.5


class _Report(NamedTuple):
    """What another instance reported, and when that expires."""

    waiting_by_service: Mapping[str, int]
    expires_at: float


def no_services() -> Collection[str]:
    """Returns the services whose engines are ordered, if there are none."""
    return ()


class WaitingSamples:
    """Counts waiting samples of the services whose engines are ordered."""

    def __init__(
        self,
        open_jobs: Callable[[], Iterable[LocalJob]],
        scaled_services: Callable[[], Collection[str]],
        clock: Clock,
    ) -> None:
        self._open_jobs = open_jobs
        self._scaled_services = scaled_services
        self._clock = clock
        self._lock = threading.Lock()
        self._report_by_instance: dict[str, _Report] = {}

    def own(self) -> dict[str, int]:
        """Returns the samples that wait at this instance, by service."""
        services = self._scaled_services()
        if not services:
            return {}
        waiting: Counter[str] = Counter()
        for job in self._open_jobs():
            if job.service in services:
                waiting[job.service] += job.waiting_samples()
        return dict(+waiting)

    def record(
        self, instance: str, waiting_by_service: Mapping[str, int]
    ) -> None:
        """Records another instance's report, which replaces its last one."""
        expires_at = self._clock.monotonic() + REPORT_TTL_S
        with self._lock:
            if waiting_by_service:
                report = _Report(waiting_by_service, expires_at)
                self._report_by_instance[instance] = report
            else:
                self._report_by_instance.pop(instance, None)

    def total(self) -> Counter[str]:
        """Returns the samples that wait at all instances, by service."""
        now = self._clock.monotonic()
        waiting = Counter(self.own())
        with self._lock:
            reports = list(self._report_by_instance.values())
        for report in reports:
            if now < report.expires_at:
                waiting.update(report.waiting_by_service)
        return waiting
