"""Tells all instances what one of them has seen.

An instance tells all others of each change, and goes on until each has
answered. An instance that starts asks others for what they know.
"""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, Protocol

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks.instances import Instances

__all__ = ["RETRY_PERIOD_S", "ReportExchange", "ReportedRecords"]

CALL_TIMEOUT_S = 0.5
MAX_PARALLEL_CALLS = 8
# How soon an instance that did not answer is told again.
RETRY_PERIOD_S = 0.7
FETCH_PERIOD_S = 0.05
# An instance that knows no other one by then serves nonetheless.
FETCH_TIMEOUT_S = 2.0
# How many instances one that has started asks.
FETCH_COUNT = 2
# An instance that is gone for longer asks for all when it starts again.
REPORT_TTL_S = 60.0

_log = get_logger("live")


class ReportedRecords(Protocol):
    """Records that all instances are to know."""

    def take_unreported(self) -> bytes | None:
        """Returns the records that changed, encoded; None for none."""

    def encode_all(self) -> bytes:
        """Returns all records, encoded."""

    def merge(self, body: bytes, origin: str) -> None:
        """Adds the records of another instance.

        Raises:
            msgspec.DecodeError: The body is malformed.
        """

    def on_acknowledged(self, body: bytes) -> None:
        """Handles that another instance knows a body of `take_unreported`."""


class _PendingReport(NamedTuple):
    """A report that an instance has not acknowledged."""

    body: bytes
    give_up_at: float


class ReportExchange:
    """Exchanges the records of one subject with all other instances."""

    def __init__(
        self,
        subject: str,
        records: ReportedRecords,
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
        recipients: Callable[[], list[LiveInstance]] | None = None,
    ) -> None:
        """Creates the exchange.

        Args:
            subject: What the records are about; the first part of the names
                of the calls.
            records: The records.
            instances: The other instances.
            peers: Makes the calls to them.
            clock: The time source.
            recipients: Returns the instances to tell; all others by default.
        """
        self._subject = subject
        self._records = records
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self._recipients = recipients or instances.others
        self._lock = threading.Lock()
        self._pending_by_name: dict[str, list[_PendingReport]] = {}
        # Instances that are being told; one call at a time each.
        self._being_told: set[str] = set()
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix=subject
        )

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {
            self._report_method: self._serve_report,
            self._fetch_method: lambda body: self._records.encode_all(),
        }

    @property
    def _report_method(self) -> str:
        return f"{self._subject}.report"

    @property
    def _fetch_method(self) -> str:
        return f"{self._subject}.fetch"

    @property
    def has_pending(self) -> bool:
        """Whether an instance has not acknowledged a report."""
        with self._lock:
            return any(self._pending_by_name.values())

    def shutdown(self) -> None:
        """Waits for the calls in flight."""
        self._executor.shutdown()

    def fetch(self, stop: threading.Event) -> None:
        """Asks other instances for all records, once some are known."""
        asked: set[str] = set()
        answers = 0
        give_up_at = self._clock.monotonic() + FETCH_TIMEOUT_S
        while answers < FETCH_COUNT and self._clock.monotonic() < give_up_at:
            others = [
                member
                for member in self._instances.others()
                if member.name not in asked
            ]
            if not others and (asked or self._instances.is_view_loaded()):
                return
            if not others and stop.wait(FETCH_PERIOD_S):
                return
            for member in others[:FETCH_COUNT]:
                asked.add(member.name)
                body = self._call(member, self._fetch_method, b"")
                if body is not None:
                    answers += 1
                    self._merge(body, member.name)

    def send(self) -> None:
        """Tells others of changes, and again those that did not answer."""
        self._add_pending()
        self._send_pending()

    def _add_pending(self) -> None:
        body = self._records.take_unreported()
        if body is None:
            return
        report = _PendingReport(body, self._clock.monotonic() + REPORT_TTL_S)
        with self._lock:
            for member in self._recipients():
                pending = self._pending_by_name.setdefault(member.name, [])
                pending.append(report)

    def _send_pending(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            self._pending_by_name = {
                name: kept
                for name, reports in self._pending_by_name.items()
                if (kept := [r for r in reports if r.give_up_at > now])
            }
            names = set(self._pending_by_name) - self._being_told
            members = [m for m in self._instances.others() if m.name in names]
            self._being_told.update(member.name for member in members)
        # Those that do not answer must not delay the others.
        members.sort(key=lambda m: self._peers.is_suspect(m.address))
        for member in members:
            self._executor.submit(self._report_to, member)

    def _report_to(self, member: LiveInstance) -> None:
        """Tells an instance all that it has not acknowledged."""
        is_told = False
        try:
            while report := self._next_report(member.name):
                if self._call(member, self._report_method, report.body) is None:
                    return
                self._remove_report(member.name, report)
                self._records.on_acknowledged(report.body)
            is_told = True
        except Exception:
            _log.exception("Reports to a peer failed unexpectedly.")
        finally:
            if not is_told:
                with self._lock:
                    self._being_told.discard(member.name)

    def _remove_report(self, name: str, report: _PendingReport) -> None:
        with self._lock:
            pending = self._pending_by_name.get(name, [])
            if report in pending:
                pending.remove(report)

    def _next_report(self, name: str) -> _PendingReport | None:
        with self._lock:
            pending = self._pending_by_name.get(name)
            if pending:
                return pending[0]
            # Under the same lock, so that no report added now is left over.
            self._being_told.discard(name)
            return None

    def _call(
        self, member: LiveInstance, method: str, body: bytes
    ) -> bytes | None:
        """Calls another instance; returns None if it does not respond."""
        try:
            return self._peers.call(
                member.address, method, body, CALL_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Reports not exchanged with a peer.",
                extra={
                    "peer": member.name,
                    "method": method,
                    "reason": str(error),
                },
            )
            return None

    def _serve_report(self, body: bytes) -> bytes:
        self._merge(body, "report")
        return b""

    def _merge(self, body: bytes, origin: str) -> None:
        try:
            self._records.merge(body, origin)
        except msgspec.DecodeError as error:
            _log.warning(
                "Ignoring a malformed report.",
                extra={
                    "subject": self._subject,
                    "peer": origin,
                    "reason": str(error),
                },
            )
