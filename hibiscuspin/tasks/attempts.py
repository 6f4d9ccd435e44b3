"""A bounded log of the attempts that this instance started."""

import threading
from collections import OrderedDict
from typing import Literal, NamedTuple

from hibiscuspin.errors import ErrorKind

__all__ = ["Attempt", "AttemptLog"]

MAX_REQUESTS = 10_000

Path = Literal["live", "service", "rollout"]
AttemptCause = Literal["first", "retry", "hedge", "resume", "stale"]


class Attempt(NamedTuple):
    """One attempt of one request on one target.

    Attributes:
        request_id: The request's id, as its caller knows it.
        team: The caller's team, or an empty string.
        path: The kind of request.
        cause: Why the attempt was started.
        target: The target's name.
        started_at_s: Wall-clock time of its start, in seconds.
        seconds: Its duration.
        tokens: Number of tokens received.
        error: Why it failed; None if its response was complete.
    """

    request_id: str
    team: str
    path: Path
    cause: AttemptCause
    target: str
    started_at_s: float
    seconds: float
    tokens: int
    error: ErrorKind | None


class AttemptLog:
    """The attempts of the most recent requests; thread-safe."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._lock = threading.Lock()
        self._attempts_by_id: OrderedDict[str, list[Attempt]] = OrderedDict()

    def record(self, attempt: Attempt) -> None:
        """Adds an attempt; evicts the oldest request if the log is full."""
        with self._lock:
            attempts = self._attempts_by_id.setdefault(attempt.request_id, [])
            attempts.append(attempt)
            if len(self._attempts_by_id) > self._max_requests:
                self._attempts_by_id.popitem(last=False)

    def by_request(self, request_id: str) -> tuple[Attempt, ...]:
        """Returns the attempts of a request, oldest first."""
        with self._lock:
            return tuple(self._attempts_by_id.get(request_id, ()))
