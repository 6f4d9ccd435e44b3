"""Answers requests to retire storage machines.

Instances store nothing on these machines' disks, so each one can be reported
as empty at once.
"""

from collections.abc import Iterable

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    PutOperation,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger

__all__ = ["RetirementReporter"]

STATUS_PREFIX = "status/retire/"
COMPLETED_STATE = "completed"
CALL_TIMEOUT_S = 2.0

_log = get_logger("daemon")


class RetirementReporter:
    """Reports the state of storage machines that are being retired."""

    def __init__(self, store: TransactionStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._reported: set[str] = set()

    def report_empty(self, machines: Iterable[str]) -> None:
        """Reports each machine as empty, once."""
        for machine in machines:
            if machine in self._reported:
                continue
            value = msgspec.json.encode({"state": COMPLETED_STATE})
            put = PutOperation(STATUS_PREFIX + machine, value)
            deadline = self._clock.monotonic() + CALL_TIMEOUT_S
            try:
                self._store.commit(Transaction({}, (put,)), deadline)
            except StoreError as error:
                _log.warning(
                    "Storage machine not reported as empty: store call failed.",
                    extra={"machine": machine, "reason": str(error)},
                )
                continue
            self._reported.add(machine)
            _log.info(
                "Storage machine reported as empty.", extra={"machine": machine}
            )
