"""Clocks as a dependency, so that tests can replace them."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock", "monotonic"]


def monotonic() -> float:
    """Returns the time of a clock that never goes backwards, in seconds.

    Unlike `time.monotonic`, it counts the time during which the machine was
    suspended, so that a lease does not outlive a suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Returns monotonic time in seconds, including suspended time."""

    def wall(self) -> float:
        """Returns wall-clock seconds since the epoch, for logs and records."""


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Returns monotonic time in seconds, including suspended time."""
        return monotonic()

    def wall(self) -> float:
        """Returns wall-clock seconds since the epoch, for logs and records."""
        return time.time()
