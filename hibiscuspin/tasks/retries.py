"""The retry budget that all live requests of an instance share."""

import threading

from hibiscuspin.decisions import retries
from hibiscuspin.decisions.retries import RetryBudget

__all__ = ["SharedRetryBudget"]


class SharedRetryBudget:
    """A retry budget; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budget = RetryBudget()

    def count_first_attempt(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._budget = retries.after_first_attempt(self._budget)

    def try_spend(self) -> bool:
        """Spends budget on an extra attempt; returns whether any was left."""
        with self._lock:
            left = retries.after_extra_attempt(self._budget)
            if left is None:
                return False
            self._budget = left
            return True
