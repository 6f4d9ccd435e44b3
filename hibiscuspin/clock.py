"""Time as a dependency, so that tests can inject it."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock", "monotonic"]


def monotonic() -> float:
    """Returns seconds on a clock that never goes back.

    Unlike `time.monotonic` it counts the time in which the machine was
    suspended, so that a lease does not outlive a pause.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back or stands still."""

    def wall(self) -> float:
        """Returns seconds since the epoch, for logs and records."""


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back or stands still."""
        return monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch, for logs and records."""
        return time.time()
