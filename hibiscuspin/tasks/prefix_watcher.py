"""Maintains a local copy of all keys under a prefix of the store."""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

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

__all__ = ["CopyState", "PrefixCopy", "PrefixWatcher"]

# A pending watch counts as one call, so long waits are cheap; keep-alive
# probes detect a dead connection earlier.
WATCH_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
# While watches fail, the prefix is scanned about once a second.
RETRY_S = 0.9
INACTIVE_POLL_S = 0.1
RELAYED_POLL_S = 0.2

Listener = Callable[[Mapping[str, StoredValue]], None]

_log = get_logger("store")


class CopyState(NamedTuple):
    """Identifies the values of a copy: their number and highest revision."""

    keys: int
    newest: int


class PrefixCopy(NamedTuple):
    """A copy of all values under a prefix, as sent to other instances.

    Attributes:
        prefix: The prefix.
        revision: The store's revision at which the copy was current.
        state: Identifies the values.
        values: The values; None if the receiver is expected to have them.
    """

    prefix: str
    revision: int
    state: CopyState
    values: Sequence[StoredValue] | None


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
        must_look: Callable[[], bool] = lambda: True,
        is_fed: Callable[[], bool] = lambda: False,
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
            must_look: Returns whether this instance watches the store itself,
                and not only takes copies from others.
            is_fed: Returns whether the copies from others are current.
        """
        self.name = f"watch {prefix}"
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._watch_gap_s = gap_s
        self._is_active = active
        self._must_look = must_look
        self._is_fed = is_fed
        self._lock = threading.RLock()
        self._values_by_key: dict[str, StoredValue] = {}
        # The store's revision at which the values were current; 0 before the
        # first ones.
        self._revision = 0
        self._current = threading.Event()

    @property
    def prefix(self) -> str:
        """The prefix of the watched keys."""
        return self._prefix

    @property
    def is_current(self) -> bool:
        """Whether the copy is loaded and known to be current."""
        return self._current.is_set() or (self._revision > 0 and self._is_fed())

    @property
    def state(self) -> CopyState:
        """Identifies the values of this copy."""
        with self._lock:
            values = self._values_by_key.values()
            newest = max((value.revision for value in values), default=0)
            return CopyState(len(values), newest)

    def copy(self) -> PrefixCopy | None:
        """Returns this copy; None unless it comes from an own watch."""
        with self._lock:
            if not self._current.is_set():
                return None
            values = tuple(self._values_by_key.values())
            return PrefixCopy(self._prefix, self._revision, self.state, values)

    def accept(self, copy: PrefixCopy) -> bool:
        """Takes a copy from another instance unless it is older.

        Returns:
            Whether the values here are now those of the copy.
        """
        with self._lock:
            if copy.state == self.state:
                self._revision = max(self._revision, copy.revision)
                return True
            if copy.values is None or copy.revision < self._revision:
                return False
            self._apply_scan(ScanResult(tuple(copy.values), copy.revision))
            return True

    def run(self, stop: threading.Event) -> None:
        """Watches until `stop` is set."""
        revision: int | None = None
        while not stop.is_set():
            if not self._is_active() or not self._must_look():
                revision = None
                self._current.clear()
                relayed = self._is_active()
                stop.wait(RELAYED_POLL_S if relayed else INACTIVE_POLL_S)
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
        with self._lock:
            # Callers refuse keys and paths for good while it is current, so
            # the listener gets the values first.
            self._apply_scan(scan)
            self._current.set()
        return scan.revision

    def _watch(self, revision: int) -> int:
        deadline = self._clock.monotonic() + WATCH_TIMEOUT_S + CALL_TIMEOUT_S
        watched = self._store.watch(
            self._prefix, revision, WATCH_TIMEOUT_S, deadline
        )
        with self._lock:
            self._apply_changes(watched)
            self._current.set()
        return watched.revision

    def _apply_scan(self, scan: ScanResult) -> None:
        if scan.revision < self._revision:
            return
        values = {value.key: value for value in scan.values}
        changed = values != self._values_by_key
        self._values_by_key = values
        self._revision = scan.revision
        if changed:
            self._listener(dict(values))

    def _apply_changes(self, watched: WatchResult) -> None:
        if watched.revision < self._revision:
            return
        self._revision = watched.revision
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
        if changed:
            self._listener(dict(self._values_by_key))

    def _mark_stale(self, reason: str) -> None:
        if self._current.is_set():
            _log.warning(
                "Store call failed; the copy of the prefix may be stale.",
                extra={"prefix": self._prefix, "reason": reason},
            )
        self._current.clear()
