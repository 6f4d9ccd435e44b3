"""Reads the list of targets from the store; a supervised task."""

import random
import threading
from collections.abc import Callable

from hibiscuspin.clock import Clock
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import StoredValue, TransactionStore
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTargets

__all__ = ["TargetDirectory"]

# A target that drains must not get work 2.5 s later; targets write every
# 1.2 s, so that a watch would return as often and cost more.
PERIOD_S = 0.9
CALL_TIMEOUT_S = 2.5
# A gap of this length may have ended the entries of targets that live.
LOST_AFTER_S = 2.0

_log = get_logger("targets")


class TargetDirectory:
    """Keeps the discovered targets up to date."""

    name = "directory"

    def __init__(
        self,
        prefix: str,
        decode: Callable[[StoredValue], TargetRecord | None],
        store: TransactionStore,
        targets: DiscoveredTargets,
        clock: Clock,
        draw: random.Random,
    ) -> None:
        self._prefix = prefix
        self._decode = decode
        self._store = store
        self._targets = targets
        self._clock = clock
        self._draw = draw
        self._read_at = clock.monotonic()
        self._regained_at = 0.0
        self._bad_revision_by_key: dict[str, int] = {}

    def run(self, stop: threading.Event) -> None:
        """Reads once a period until `stop` is set."""
        while not stop.is_set():
            try:
                self.read()
            except StoreError as error:
                _log.debug("List not read.", extra={"reason": str(error)})
            stop.wait(PERIOD_S * self._draw.uniform(0.9, 1.1))

    def read(self) -> None:
        """Reads the list once.

        Raises:
            StoreError: The store could not be reached.
        """
        started = self._clock.monotonic()
        scan = self._store.scan(self._prefix, started + CALL_TIMEOUT_S)
        if started - self._read_at > LOST_AFTER_S:
            self._regained_at = started
        self._read_at = started
        records = [self._decoded(value) for value in scan.values]
        self._targets.replace(
            [record for record in records if record is not None],
            self._regained_at,
        )

    def _decoded(self, value: StoredValue) -> TargetRecord | None:
        record = self._decode(value)
        if record is None:
            known = self._bad_revision_by_key.get(value.key)
            if known is None:
                _log.warning("Entry ignored.", extra={"key": value.key})
            self._bad_revision_by_key[value.key] = value.revision
        return record
