"""The requests that this instance counted, and those that others told it."""

import threading
from collections.abc import Callable, Hashable

import msgspec

from hibiscuspin.decisions.usage.ledger import UsageLedger, UsageRecord
from hibiscuspin.decisions.usage.windows import window_at
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.usage.true_clock import TrueClock

__all__ = ["UsageRecords"]

# Longer than until the last report of a window is given up, so that no record
# is forgotten before, and none that arrives again is counted again.
KEEP_S = 60.0
# How long this instance sends its own records to a new coordinator.
OWN_KEEP_S = 30.0

_log = get_logger("usage")


class UsageRecords:
    """A `UsageRecorder` that also knows the records of others; thread-safe.

    Attributes:
        changed: Set when other instances are to be told of a request.
    """

    def __init__(
        self,
        true_clock: TrueClock,
        window_s: float,
        metrics: Metrics,
        recipients: Callable[[], Hashable],
    ) -> None:
        """Creates the records.

        Args:
            true_clock: Says in which window a request began.
            window_s: The length of a window.
            metrics: Counts late requests.
            recipients: Returns what identifies the instances to tell; if that
                changes, they are told of all requests.
        """
        self._true_clock = true_clock
        self._window_s = window_s
        self._metrics = metrics
        self._recipients = recipients
        self._lock = threading.Lock()
        self._ledger = UsageLedger()
        # Requests whose windows are unknown until instances agree on the time.
        self._unplaced: list[tuple[str, str, float]] = []
        self._own: dict[tuple[str, str], UsageRecord] = {}
        self._unreported: list[UsageRecord] = []
        self._told: Hashable = None
        self.changed = threading.Event()

    def record(
        self, request_id: str, organisation: str, began_at: float
    ) -> None:
        """Records a request at its first run.

        Args:
            request_id: The caller's id of the request; repeats are ignored.
            organisation: The organisation that sent it; empty for none.
            began_at: When a target began to run it, in monotonic time.
        """
        if not organisation:
            return
        with self._lock:
            self._unplaced.append((request_id, organisation, began_at))
        self.changed.set()

    def counts(self, window: int) -> dict[str, int]:
        """Returns the requests of each organisation in a window."""
        with self._lock:
            self._place()
            return self._ledger.counts(window)

    def fix(self, window: int) -> None:
        """Makes later requests of a window late, because it is reported."""
        with self._lock:
            self._ledger.fix(window)

    def take_unreported(self) -> bytes | None:
        """Returns the requests that others are to be told; None for none."""
        recipients = self._recipients()
        with self._lock:
            self._place()
            records, self._unreported = self._unreported, []
            if recipients != self._told:
                self._told = recipients
                records = list(self._own.values())
            return msgspec.msgpack.encode(records) if records else None

    def encode_all(self) -> bytes:
        """Returns all known records, encoded."""
        with self._lock:
            self._place()
            return msgspec.msgpack.encode(self._ledger.records())

    def merge(self, body: bytes, origin: str) -> None:
        """Adds the records of another instance.

        Raises:
            msgspec.DecodeError: The body is malformed.
        """
        records = msgspec.msgpack.decode(body, type=list[UsageRecord])
        with self._lock:
            late = self._ledger.add(records)
        self._report_late(late, origin)

    def on_acknowledged(self, body: bytes) -> None:
        """Does nothing: nobody waits for acknowledgements."""

    def drop_expired(self) -> None:
        """Drops the records of windows that no report needs."""
        now = self._true_clock.now()
        with self._lock:
            self._ledger.drop_before(window_at(now - KEEP_S, self._window_s))
            oldest = window_at(now - OWN_KEEP_S, self._window_s)
            self._own = {
                request: record
                for request, record in self._own.items()
                if record.window >= oldest
            }

    def _place(self) -> None:
        """Adds the new requests of this instance to their windows."""
        if not self._true_clock.is_settled:
            return
        unplaced, self._unplaced = self._unplaced, []
        for request_id, organisation, began_at in unplaced:
            key = (organisation, request_id)
            if key in self._own:
                continue
            window = window_at(self._true_clock.at(began_at), self._window_s)
            record = UsageRecord(request_id, organisation, window)
            self._own[key] = record
            self._unreported.append(record)
            self._report_late(self._ledger.add([record]), "this instance")

    def _report_late(self, late: list[UsageRecord], origin: str) -> None:
        if not late:
            return
        self._metrics.usage_late_requests.inc(len(late))
        _log.warning(
            "Requests not counted: their windows were already reported.",
            extra={
                "origin": origin,
                "count": len(late),
                "windows": sorted({record.window for record in late}),
            },
        )
