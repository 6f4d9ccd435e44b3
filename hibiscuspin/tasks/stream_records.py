"""Keeps in the store which software began each stream of this instance.

Load pattern: all instances are killed at once and come back within seconds.
Their callers then take up their streams, and no other instance is left that
knows what began them. Each instance restores the origins that it recorded
itself; the others ask it for them.
"""

import threading
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    STORED_VALUE_ERRORS,
    PutOperation,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.stream_origins import StreamOrigins

__all__ = ["StreamRecords"]

STORE_PREFIX = "hibiscuspin/streams/"
STORE_TIMEOUT_S = 0.8
RETRY_PERIOD_S = 0.3
# Streams that begin within this time are written in one call. Those of the
# last period are lost with the instance; most streams last several of them.
SAVE_PERIOD_S = 0.25
# All instances together write about this often.
MAX_WRITES_PER_S = 100.0
IDLE_PERIOD_S = 5.0

_log = get_logger("live")


class _Record(NamedTuple):
    """The value of an instance's key, and when it was written (wall clock)."""

    written_at_s: float
    origins: bytes


class StreamRecords:
    """Writes this instance's origins to the store; a supervised task.

    All of them are one value, which is written again when a stream begins.

    Attributes:
        is_restored: Whether the origins of before the start have been read.
    """

    name = "stream records"

    def __init__(
        self,
        origins: StreamOrigins,
        instances: Instances,
        store: TransactionStore,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._instances = instances
        self._store = store
        self._clock = clock
        self.is_restored = False

    @property
    def _key(self) -> str:
        return STORE_PREFIX + self._instances.member.name

    def run(self, stop: threading.Event) -> None:
        """Restores the origins, then writes new ones until `stop` is set."""
        # A write before that would replace what is to be restored.
        while not self._restore():
            if stop.wait(RETRY_PERIOD_S):
                return
        self.is_restored = True
        while not stop.is_set():
            self._origins.unsaved.wait(IDLE_PERIOD_S)
            if stop.is_set() or not self._origins.unsaved.is_set():
                continue
            self._origins.unsaved.clear()
            if not self._save():
                self._origins.unsaved.set()
            fleet_size = len(self._instances.others()) + 1
            stop.wait(max(SAVE_PERIOD_S, fleet_size / MAX_WRITES_PER_S))

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._origins.unsaved.set()

    def _restore(self) -> bool:
        """Reads what this instance wrote before its start.

        Returns:
            Whether the store responded.
        """
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        try:
            value = self._store.read(self._key, deadline)
        except StoreError as error:
            _log.info(
                "Origins of streams not read from the store.",
                extra={"reason": str(error)},
            )
            return False
        if value is None:
            return True
        try:
            record = msgspec.msgpack.decode(value.value, type=_Record)
            age_s = max(0.0, self._clock.wall() - record.written_at_s)
            count = self._origins.restore(record.origins, age_s)
        except STORED_VALUE_ERRORS as error:
            _log.warning(
                "Ignoring malformed origins of streams.",
                extra={"key": self._key, "reason": str(error)},
            )
            return True
        _log.info("Origins of streams restored.", extra={"count": count})
        return True

    def _save(self) -> bool:
        record = _Record(self._clock.wall(), self._origins.encode_own())
        put = PutOperation(self._key, msgspec.msgpack.encode(record))
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        try:
            self._store.commit(Transaction({}, (put,)), deadline)
        except StoreError as error:
            _log.info(
                "Origins of streams not stored; trying again.",
                extra={"reason": str(error)},
            )
            return False
        return True
