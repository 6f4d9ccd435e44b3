"""A thread pool for waitress that starts its threads on demand."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

__all__ = ["GrowingDispatcher"]


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts a thread when a request finds none idle, up to a limit.

    Waitress starts all threads at once; most instances of a large fleet would
    never use them.
    """

    def __init__(self, max_threads: int) -> None:
        """Creates the dispatcher.

        Args:
            max_threads: The maximum number of threads.
        """
        super().__init__()
        self._max_threads = max_threads

    def add_task(self, task: Any) -> None:
        """Queues a request; first starts a thread if none is idle."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            grow = idle <= len(self.queue) and running < self._max_threads
        if grow:
            self.set_thread_count(running + 1)
        super().add_task(task)

    @property
    def waiting_count(self) -> int:
        """Number of queued requests for which no thread is free."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            spare = self._max_threads - running
            return max(0, len(self.queue) - idle - spare)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Stops all threads and starts no further ones."""
        self._max_threads = 0
        ended: bool = super().shutdown(cancel_pending, timeout)
        return ended
