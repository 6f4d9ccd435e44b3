"""Runs tasks, restarts those that end, and stops them in reverse order."""

import math
import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Protocol, runtime_checkable

from hibiscuspin.clock import monotonic
from hibiscuspin.logs import get_logger

__all__ = ["Interruptible", "Supervisor", "Task"]

INITIAL_RESTART_BACKOFF_S = 0.2
MAX_RESTART_BACKOFF_S = 5.0

_log = get_logger("daemon")


class Task(Protocol):
    """A unit of work with its own thread."""

    @property
    def name(self) -> str:
        """The task's name in logs."""

    def run(self, stop: threading.Event) -> None:
        """Runs until `stop` is set."""


@runtime_checkable
class Interruptible(Protocol):
    """A task with a long wait that must be interrupted when it stops."""

    def interrupt(self) -> None:
        """Interrupts the task's wait; called after `stop` is set."""


class Supervisor:
    """A node of the supervisor tree; itself a `Task`."""

    def __init__(self, name: str, tasks: Sequence[Task]) -> None:
        self._name = name
        self._tasks = tasks
        self._stops = [threading.Event() for _ in tasks]
        self._executor = ThreadPoolExecutor(
            max(1, len(tasks)), thread_name_prefix=name
        )
        self._futures: list[Future[None]] = []

    @property
    def name(self) -> str:
        """The supervisor's name in logs."""
        return self._name

    def run(self, stop: threading.Event) -> None:
        """Runs all tasks until `stop` is set."""
        self.start()
        stop.wait()
        self.stop()

    def start(self) -> None:
        """Starts all tasks in order."""
        for task, stop in zip(self._tasks, self._stops, strict=True):
            future = self._executor.submit(self._run_with_restarts, task, stop)
            self._futures.append(future)

    def stop(self, deadline: float = math.inf) -> None:
        """Stops the tasks, last first, and waits for each.

        Args:
            deadline: When to stop all that are left at once, in monotonic
                time.
        """
        rows = list(zip(self._tasks, self._stops, self._futures, strict=True))
        for task, stop, future in reversed(rows):
            stop.set()
            if isinstance(task, Interruptible):
                task.interrupt()
            left_s = deadline - monotonic()
            wait([future], None if left_s == math.inf else max(0.0, left_s))
        for future in self._futures:
            future.result()
        self._executor.shutdown()

    def _run_with_restarts(self, task: Task, stop: threading.Event) -> None:
        backoff_s = INITIAL_RESTART_BACKOFF_S
        while not stop.is_set():
            try:
                task.run(stop)
            except Exception:
                _log.exception(
                    "Task failed; it is restarted unless it is stopping.",
                    extra={"task": task.name},
                )
            if stop.wait(backoff_s):
                return
            backoff_s = min(MAX_RESTART_BACKOFF_S, backoff_s * 2)
