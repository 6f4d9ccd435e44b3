"""Reports the requests of each window to the platform, as the coordinator.

The counts of a window are recorded in the store before they are first sent.
What is recorded never changes, so every call for a window carries the same
counts, whichever instance makes it.
"""

import random
import threading
from typing import NamedTuple, Protocol

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.usage import windows
from hibiscuspin.decisions.usage.windows import WindowReport, WindowTimes
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.duty_calls import DutyCallError, DutyCalls, DutyHolder
from hibiscuspin.edges.transactions import (
    CommitResult,
    PutOperation,
    StoredValue,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.instances import Instances, Term
from hibiscuspin.tasks.usage.records import UsageRecords
from hibiscuspin.tasks.usage.true_clock import TrueClock

__all__ = ["REPORTS_KEY", "UsageReporter"]

REPORTS_KEY = "hibiscuspin/usage-reports"
TICK_S = 0.1
STORE_TIMEOUT_S = 1.6
STORE_RETRY_S = 0.5
CALL_TIMEOUT_S = 1.5
# How long a new holder waits until it collects the records of others. After an
# outage of the store that ended all registrations, others register again
# within 0.7 s.
COLLECT_DELAY_S = 1.0

_log = get_logger("usage")


class _Retry(NamedTuple):
    """When a report is sent again, in monotonic time."""

    failures: int
    at: float


class _Session:
    """What a holder knows in its term.

    Attributes:
        term: The term.
        reports: What is recorded, by window.
        revision: The revision of the record in the store.
        is_read: Whether both are those of the store, as far as known.
        store_at: When the store may be called again, in monotonic time.
        own: The windows that this holder recorded, or tried to.
        done: The windows that need no further call.
        retry_by_window: The reports whose last call failed.
        collect_at: When the records of others are collected, in monotonic
            time; no counts are fixed before.
        is_collected: Whether the records of others were collected.
    """

    def __init__(self, term: Term, collect_at: float) -> None:
        self.term = term
        self.collect_at = collect_at
        self.is_collected = False
        self.reports: list[WindowReport] = []
        self.revision = 0
        self.is_read = False
        self.store_at = 0.0
        self.own: set[int] = set()
        self.done: set[int] = set()
        self.retry_by_window: dict[int, _Retry] = {}


class _Collector(Protocol):
    """Where a new holder gets the records of others."""

    records: UsageRecords

    def collect(self) -> None:
        """Asks all other instances for what they know."""


class UsageReporter:
    """Records and sends the reports; a supervised task."""

    name = "usage reports"

    def __init__(
        self,
        instances: Instances,
        collector: _Collector,
        true_clock: TrueClock,
        times: WindowTimes,
        calls: DutyCalls,
        store: TransactionStore,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Creates the task.

        Args:
            instances: Says whether this instance has the duty.
            collector: The records, and where to get those of others.
            true_clock: The time by which windows are counted.
            times: When windows end and are reported.
            calls: Makes the calls to the platform.
            store: The platform's store, where reports are recorded.
            clock: The time source of deadlines.
            rng: Adds jitter to retries.
            metrics: Shows the last reported window.
        """
        self._instances = instances
        self._collector = collector
        self._records = collector.records
        self._true_clock = true_clock
        self._times = times
        self._calls = calls
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._session: _Session | None = None
        self._started_in: int | None = None

    def run(self, stop: threading.Event) -> None:
        """Reports windows until `stop` is set."""
        while not stop.wait(TICK_S):
            self.step()

    def step(self) -> None:
        """Does what is due now: at most one call to the store and one more."""
        if not self._true_clock.is_settled:
            return
        if self._started_in is None:
            self._started_in = windows.window_at(
                self._true_clock.now(), self._times.window_s
            )
        term = self._instances.term()
        if term is None:
            self._session = None
            return
        session = self._session
        if session is None or session.term != term:
            collect_at = self._clock.monotonic() + COLLECT_DELAY_S
            session = self._session = _Session(term, collect_at)
        self._collect(session)
        self._update_store(session)
        if self._clock.monotonic() >= term.orders_from:
            self._send_next(session)

    def _collect(self, session: _Session) -> None:
        if session.is_collected or (
            self._clock.monotonic() < session.collect_at
        ):
            return
        self._collector.collect()
        session.is_collected = True

    def _update_store(self, session: _Session) -> None:
        """Reads what is recorded, and records the windows that are due."""
        if self._clock.monotonic() < session.store_at:
            return
        try:
            if not session.is_read:
                self._read(session)
            if session.is_collected:
                self._record_due(session, self._started_in or 0)
        except StoreError as error:
            # A write whose response was lost may have taken effect.
            session.is_read = False
            session.store_at = self._clock.monotonic() + STORE_RETRY_S
            _log.info(
                "Usage reports neither read from the store nor recorded.",
                extra={"reason": str(error)},
            )

    def _read(self, session: _Session) -> None:
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        self._adopt(session, self._store.read(REPORTS_KEY, deadline))

    def _adopt(self, session: _Session, value: StoredValue | None) -> None:
        """Takes over what is recorded, which never changes again."""
        session.revision = value.revision if value else 0
        session.reports = _decode(value)
        session.is_read = True
        for report in session.reports:
            self._records.fix(report.window)
            if report.is_accepted:
                session.done.add(report.window)

    def _record_due(self, session: _Session, started_in: int) -> None:
        recorded = [report.window for report in session.reports]
        due = windows.unrecorded_windows(
            self._times, recorded, started_in, self._true_clock.now()
        )
        if not due:
            return
        if recorded and due[0] > max(recorded) + 1:
            _log.error(
                "Windows not reported: nobody recorded them in time.",
                extra={"first": max(recorded) + 1, "last": due[0] - 1},
            )
        added = [
            WindowReport(window, self._records.counts(window)) for window in due
        ]
        kept = [
            report._replace(is_accepted=report.window in session.done)
            for report in session.reports
        ]
        reports = windows.with_reports(kept, added)
        session.own.update(due)
        put = PutOperation(REPORTS_KEY, msgspec.json.encode(reports))
        outcome = self._store.commit(
            Transaction({REPORTS_KEY: session.revision}, (put,)),
            self._clock.monotonic() + STORE_TIMEOUT_S,
        )
        if not isinstance(outcome, CommitResult):
            self._adopt(session, outcome.values_by_key.get(REPORTS_KEY))
            return
        session.revision = outcome.revision
        session.reports = reports
        for report in added:
            self._records.fix(report.window)
            _log.info(
                "Usage recorded.",
                extra={
                    "window": report.window,
                    "counts": report.count_by_organisation,
                },
            )

    def _send_next(self, session: _Session) -> None:
        """Sends the oldest report that is due, if any."""
        now = self._true_clock.now()
        for report in session.reports:
            window = report.window
            if window in session.done:
                continue
            if self._times.is_abandoned(window, now):
                session.done.add(window)
                _log.error(
                    "Usage report given up; it was never accepted.",
                    extra={"window": window},
                )
            elif window in session.own or self._times.is_resent(window, now):
                retry = session.retry_by_window.get(window)
                if retry is None or self._clock.monotonic() >= retry.at:
                    self._send(session, report)
                    return

    def _send(self, session: _Session, report: WindowReport) -> None:
        if not self._instances.begin_order(session.term):
            return
        window = report.window
        holder = DutyHolder(self._instances.member.name, session.term.fencing)
        try:
            self._calls.report_usage(
                holder,
                window,
                report.count_by_organisation,
                self._clock.monotonic() + CALL_TIMEOUT_S,
            )
        except DutyCallError as error:
            self._record_failure(session, window, error)
            return
        session.done.add(window)
        self._metrics.usage_last_window.set(window)
        _log.info(
            "Usage reported.",
            extra={
                "window": window,
                "fencing": session.term.fencing,
                "after_end_s": round(
                    self._true_clock.now() - self._times.end(window), 2
                ),
            },
        )

    def _record_failure(
        self, session: _Session, window: int, error: DutyCallError
    ) -> None:
        last = session.retry_by_window.get(window)
        failures = last.failures + 1 if last else 1
        delay_s = windows.retry_delay_s(failures, self._rng.random())
        session.retry_by_window[window] = _Retry(
            failures, self._clock.monotonic() + delay_s
        )
        if error.is_final:
            session.done.add(window)
        _log.warning(
            "Usage report rejected; it is not sent again."
            if error.is_final
            else "Usage report not accepted; it is sent again.",
            extra={
                "window": window,
                "failures": failures,
                "applied": error.applied,
                "reason": str(error),
            },
        )


def _decode(value: StoredValue | None) -> list[WindowReport]:
    if value is None:
        return []
    try:
        return msgspec.json.decode(value.value, type=list[WindowReport])
    except msgspec.DecodeError as error:
        _log.error(
            "Malformed record of usage reports; it is replaced.",
            extra={"key": REPORTS_KEY, "reason": str(error)},
        )
        return []
