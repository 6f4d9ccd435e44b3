"""Where forwarders record the requests that targets began to run."""

from typing import Protocol

__all__ = ["NO_USAGE", "UsageRecorder"]


class UsageRecorder(Protocol):
    """Records requests of organisations; thread-safe and never blocking."""

    def record(
        self, request_id: str, organisation: str, began_at: float
    ) -> None:
        """Records a request at its first run.

        Args:
            request_id: The caller's id of the request; repeats are ignored.
            organisation: The organisation that sent it; empty for none.
            began_at: When a target began to run it, in monotonic time.
        """


class _NoUsage:
    """Used where the platform wants no reports."""

    def record(
        self, request_id: str, organisation: str, began_at: float
    ) -> None:
        """Does nothing."""


NO_USAGE: UsageRecorder = _NoUsage()
