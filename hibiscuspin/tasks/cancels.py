"""Cancels requests on engines without blocking their callers."""

import threading
from concurrent.futures import ThreadPoolExecutor

from hibiscuspin.clock import Clock
from hibiscuspin.edges import TargetError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.targets import Targets

__all__ = ["CancelQueue"]

CANCEL_THREADS = 2
MAX_QUEUED = 1000
CANCEL_TIMEOUT_S = 1.0

_log = get_logger("live")


class CancelQueue:
    """A bounded queue of cancellations, sent by a thread pool."""

    def __init__(self, targets: Targets, clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._queue_slots = threading.BoundedSemaphore(MAX_QUEUED)
        self._executor = ThreadPoolExecutor(
            CANCEL_THREADS, thread_name_prefix="cancel"
        )

    def enqueue(self, target: str, request_id: str) -> None:
        """Queues a cancellation; drops it if the queue is full."""
        if self._queue_slots.acquire(blocking=False):
            self._executor.submit(self._cancel, target, request_id)

    def _cancel(self, target: str, request_id: str) -> None:
        deadline = self._clock.monotonic() + CANCEL_TIMEOUT_S
        try:
            self._targets.engine(target).cancel(request_id, deadline)
        except (TargetError, KeyError):
            _log.warning(
                "Request could not be cancelled on an engine.",
                extra={"target": target},
            )
        finally:
            self._queue_slots.release()
