"""Worker threads of a server that are started as they are needed."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

__all__ = ["GrowingDispatcher"]


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts a thread for a request that finds none idle, up to a limit.

    Waitress starts all threads at once, which most instances of a large
    fleet would never use.
    """

    def __init__(self, most: int) -> None:
        """Creates the dispatcher.

        Args:
            most: How many threads may run at once.
        """
        super().__init__()
        self._most = most

    def add_task(self, task: Any) -> None:
        """Has a thread serve a request, or keeps it until one is idle."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            grow = idle <= len(self.queue) and running < self._most
        if grow:
            self.set_thread_count(running + 1)
        super().add_task(task)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """Ends all threads; no further ones are started."""
        self._most = 0
        ended: bool = super().shutdown(cancel_pending, timeout)
        return ended
