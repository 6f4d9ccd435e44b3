"""The planned stop of this instance, as its requests see it."""

import math
import threading
from collections import deque

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import stopping
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = ["PlannedStop"]

# Durations that are kept of each route.
RECENT_REQUESTS = 64
MAX_ROUTES = 256
# By then most callers have been told that the instance is not ready.
ESTIMATE_PERIOD_S = 2.5
# From the end of a request until its response has been sent.
RESPONSE_MARGIN_S = 0.2


class PlannedStop:
    """When the instance stops, and how long requests take; thread-safe.

    Attributes:
        answer_by: The monotonic time by which every request must have ended;
            infinite unless the instance is stopping.
    """

    def __init__(self, clock: Clock) -> None:
        self.answer_by = math.inf
        self._estimate_until = math.inf
        self._clock = clock
        self._lock = threading.Lock()
        self._durations_s_by_route: dict[str, deque[float]] = {}

    def begin(self, deadline: float) -> None:
        """Begins the stop.

        Args:
            deadline: The monotonic time at which connections are closed.
        """
        self._estimate_until = self._clock.monotonic() + ESTIMATE_PERIOD_S
        self.answer_by = deadline - RESPONSE_MARGIN_S

    def record(self, route: str, took_s: float) -> None:
        """Records how long a completed request of a route took."""
        with self._lock:
            durations = self._durations_s_by_route.get(route)
            if durations is None:
                if len(self._durations_s_by_route) >= MAX_ROUTES:
                    oldest = next(iter(self._durations_s_by_route))
                    del self._durations_s_by_route[oldest]
                durations = deque[float](maxlen=RECENT_REQUESTS)
                self._durations_s_by_route[route] = durations
            durations.append(took_s)

    def check(self, route: str, deadline: float) -> None:
        """Checks that a request of a route may end before the stop.

        Args:
            route: The route.
            deadline: When the request ends at the latest, in monotonic time.

        Raises:
            HibiscusError: `STOPPING` if it may not.
        """
        if self.answer_by == math.inf:
            return
        now = self._clock.monotonic()
        with self._lock:
            durations = self._durations_s_by_route.get(route)
            longest_s = max(durations) if durations else None
        if not stopping.may_take(
            deadline - now,
            longest_s,
            now,
            self.answer_by,
            self._estimate_until,
        ):
            raise HibiscusError(
                ErrorKind.STOPPING,
                "The instance stops before the request would end.",
                retry_after_s=0.0,
            )
