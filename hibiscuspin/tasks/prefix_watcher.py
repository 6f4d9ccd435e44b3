"""Maintains a local copy of all keys under a prefix of the store."""

import random
import threading
from collections.abc import Callable, Mapping

from hibiscuspin.clock import Clock
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    HistoryLostError,
    ScanResult,
    StoredValue,
    TransactionStore,
    WatchResult,
)
from hibiscuspin.logs import get_logger

__all__ = ["PrefixWatcher"]

# A pending watch counts as one call, so long waits are cheap; keep-alive
# probes detect a dead connection earlier.
WATCH_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
# While watches fail, the prefix is scanned about once a second.
RETRY_S = 0.9
INACTIVE_POLL_S = 0.1

Listener = Callable[[Mapping[str, StoredValue]], None]

_log = get_logger("store")


class PrefixWatcher:
    """Passes all values to a listener on each change; a supervised task."""

    def __init__(
        self,
        prefix: str,
        store: TransactionStore,
        clock: Clock,
        rng: random.Random,
        listener: Listener,
        *,
        gap_s: Callable[[], float] = lambda: 0.0,
        active: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the task.

        Args:
            prefix: The prefix of the watched keys.
            store: The store.
            clock: The source of time.
            rng: Adds jitter, so that a fleet's retries spread out.
            listener: Called with all values after a change.
            gap_s: Returns the gap between watches, during which changes
                accumulate, since each response of the store counts as a call.
            active: Returns whether the prefix is watched at all.
        """
        self.name = f"watch {prefix}"
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._watch_gap_s = gap_s
        self._is_active = active
        self._values_by_key: dict[str, StoredValue] = {}
        self._current = threading.Event()

    @property
    def is_current(self) -> bool:
        """Whether the copy is loaded and the last call has not failed."""
        return self._current.is_set()

    def run(self, stop: threading.Event) -> None:
        """Watches until `stop` is set."""
        revision: int | None = None
        while not stop.is_set():
            if not self._is_active():
                revision = None
                stop.wait(INACTIVE_POLL_S)
                continue
            try:
                if revision is None:
                    revision = self._scan()
                revision = self._watch(revision)
                stop.wait(self._watch_gap_s())
            except HistoryLostError:
                _log.info(
                    "Store discarded watched changes; the prefix is rescanned.",
                    extra={"prefix": self._prefix},
                )
                revision = None
            except StoreError as error:
                self._mark_stale(str(error))
                revision = self._rescan()
                stop.wait(RETRY_S * self._rng.uniform(0.8, 1.2))

    def _rescan(self) -> int | None:
        try:
            return self._scan()
        except StoreError as error:
            self._mark_stale(str(error))
            return None

    def _scan(self) -> int:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        scan = self._store.scan(self._prefix, deadline)
        self._current.set()
        if self._apply_scan(scan):
            self._listener(dict(self._values_by_key))
        return scan.revision

    def _watch(self, revision: int) -> int:
        deadline = self._clock.monotonic() + WATCH_TIMEOUT_S + CALL_TIMEOUT_S
        watched = self._store.watch(
            self._prefix, revision, WATCH_TIMEOUT_S, deadline
        )
        self._current.set()
        if self._apply_changes(watched):
            self._listener(dict(self._values_by_key))
        return watched.revision

    def _apply_scan(self, scan: ScanResult) -> bool:
        values = {value.key: value for value in scan.values}
        changed = values != self._values_by_key
        self._values_by_key = values
        return changed

    def _apply_changes(self, watched: WatchResult) -> bool:
        changed = False
        for change in watched.changes:
            known = self._values_by_key.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            changed = True
            if change.value is None:
                self._values_by_key.pop(change.key, None)
            else:
                self._values_by_key[change.key] = change.value
        return changed

    def _mark_stale(self, reason: str) -> None:
        if self._current.is_set():
            _log.warning(
                "Store call failed; the copy of the prefix may be stale.",
                extra={"prefix": self._prefix, "reason": reason},
            )
        self._current.clear()
