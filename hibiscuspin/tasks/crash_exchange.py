"""Tells all instances which requests crash targets.

Refused requests are also kept in the store, for the case that all instances
restart at once.
"""

import threading

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    PutOperation,
    StoredValue,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import PeerCallHandler, PeerHttpClient
from hibiscuspin.tasks.crash_reports import CrashReports
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.report_exchange import RETRY_PERIOD_S, ReportExchange

__all__ = ["CrashExchange"]

STORE_PREFIX = "hibiscuspin/crashes/"

STORE_TIMEOUT_S = 0.8
IDLE_PERIOD_S = 5.0

_log = get_logger("live")


class CrashExchange:
    """Tells all other instances of crashes; a supervised task."""

    name = "crash reports"

    def __init__(
        self,
        reports: CrashReports,
        instances: Instances,
        peers: PeerHttpClient,
        store: TransactionStore,
        clock: Clock,
    ) -> None:
        self._reports = reports
        self._store = store
        self._is_store_read = False
        self._clock = clock
        reports.is_loaded = False
        self._exchange = ReportExchange(
            "crashes", reports, instances, peers, clock
        )

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return self._exchange.handlers()

    def run(self, stop: threading.Event) -> None:
        """Tells others of changes until `stop` is set."""
        try:
            self._read_store()
            self._exchange.fetch(stop)
        finally:
            self._reports.is_loaded = True
        while not stop.is_set():
            has_pending = (
                self._exchange.has_pending
                or not self._is_store_read
                or bool(self._reports.unstored_by_key())
            )
            self._reports.changed.wait(
                RETRY_PERIOD_S if has_pending else IDLE_PERIOD_S
            )
            self._reports.changed.clear()
            self._exchange.send()
            if not self._is_store_read:
                self._read_store()
            self._write_store()
            self._reports.drop_expired()
        self._exchange.shutdown()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._reports.changed.set()

    def _read_store(self) -> None:
        """Reads the refused requests; deletes the records that are too old."""
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        try:
            values = self._store.scan(STORE_PREFIX, deadline).values
            self._is_store_read = True
            for value in values:
                if not self._load(value):
                    expected = {value.key: value.revision}
                    self._store.commit(
                        Transaction(expected, deletes=(value.key,)), deadline
                    )
        except StoreError as error:
            _log.info(
                "Refused requests not read from the store.",
                extra={"reason": str(error)},
            )

    def _load(self, value: StoredValue) -> bool:
        try:
            return self._reports.load_stored(value.value)
        except msgspec.DecodeError as error:
            _log.warning(
                "Deleting a malformed record of a refused request.",
                extra={"key": value.key, "reason": str(error)},
            )
            return False

    def _write_store(self) -> None:
        for key, value in self._reports.unstored_by_key().items():
            put = PutOperation(STORE_PREFIX + key, value)
            deadline = self._clock.monotonic() + STORE_TIMEOUT_S
            try:
                self._store.commit(Transaction({}, (put,)), deadline)
            except StoreError as error:
                _log.info(
                    "Refused request not stored; trying again.",
                    extra={"fingerprint": key, "reason": str(error)},
                )
                return
            self._reports.mark_stored(key)
