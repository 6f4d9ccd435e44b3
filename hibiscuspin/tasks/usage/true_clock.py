"""True Unix time on this machine, agreed with other instances."""

import threading
from collections.abc import Collection

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.usage import true_time
from hibiscuspin.decisions.usage.true_time import TimeOffset
from hibiscuspin.logs import get_logger

__all__ = ["TrueClock"]

_log = get_logger("usage")


class TrueClock:
    """Derives true time from the monotonic clock; thread-safe.

    Attributes:
        is_settled: Whether instances have voted on the offset.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        now = clock.monotonic()
        self._offset = TimeOffset(clock.wall() - now, now)
        self.is_settled = False

    def now(self) -> float:
        """Returns the true Unix time."""
        return self.at(self._clock.monotonic())

    def at(self, monotonic_s: float) -> float:
        """Returns the true Unix time of a monotonic time."""
        return self._offset.true_time(monotonic_s)

    @property
    def is_stepped(self) -> bool:
        """Whether the wall clock differs from true time by a step."""
        return self._offset.is_stepped

    def settle(self, others_s: Collection[float]) -> None:
        """Sets the offset by the votes of other instances.

        Args:
            others_s: The offsets of this machine's monotonic clock that they
                propose.
        """
        now = self._clock.monotonic()
        with self._lock:
            before = self._offset.offset_s
            offset_s = true_time.choose_offset(before, others_s)
            self._offset = TimeOffset(offset_s, now, self.is_stepped)
        self.is_settled = True
        _log.info(
            "True time set.",
            extra={
                "votes": len(others_s) + 1,
                "change_s": round(offset_s - before, 4),
            },
        )

    def follow(self) -> None:
        """Follows the wall clock slowly, unless it has stepped away."""
        now = self._clock.monotonic()
        wall_offset_s = self._clock.wall() - now
        with self._lock:
            was_stepped = self._offset.is_stepped
            self._offset = true_time.follow(self._offset, wall_offset_s, now)
            offset = self._offset
        if offset.is_stepped != was_stepped:
            _log.warning(
                "The wall clock stepped; true time does not follow it."
                if offset.is_stepped
                else "The wall clock agrees with true time again.",
                extra={"step_s": round(wall_offset_s - offset.offset_s, 3)},
            )
