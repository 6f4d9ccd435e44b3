"""Counts live requests in flight and rejects those that can't be served."""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from hibiscuspin.config import Document
from hibiscuspin.decisions import admission
from hibiscuspin.decisions.admission import AdmissionRequest
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.tasks.choices import Choice

__all__ = ["Admission"]

_DETAIL_BY_KIND = {
    ErrorKind.DEADLINE_UNREACHABLE: (
        "The deadline can't be met under the current load."
    ),
    ErrorKind.OVERLOADED: "Too many requests are in flight.",
}


class Admission:
    """Admission control for live requests; thread-safe."""

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._lock = threading.Lock()
        self._share_by_team: dict[str, float] = {}
        self._in_flight_by_team: Counter[str] = Counter()

    def configure(self, document: Document) -> None:
        """Applies the team shares of a new configuration."""
        teams = document.config["teams_by_name"]
        shares = {name: team["share"] for name, team in teams.items()}
        with self._lock:
            self._share_by_team = shares

    @contextmanager
    def track_request(self, team: str) -> Iterator[None]:
        """Counts a request as in flight while the context is active.

        Raises:
            HibiscusError: As many requests are in flight as there are threads
                to serve them.
        """
        with self._lock:
            if self._in_flight_by_team.total() >= self._max_in_flight:
                raise _rejection(ErrorKind.OVERLOADED)
            self._in_flight_by_team[team] += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight_by_team[team] -= 1

    @property
    def in_flight_count(self) -> int:
        """Number of requests in flight."""
        with self._lock:
            return self._in_flight_by_team.total()

    def check(self, team: str, choice: Choice, remaining_s: float) -> None:
        """Rejects a request that would finish too late or queue too long.

        Raises:
            HibiscusError: The request is rejected and was not executed.
        """
        with self._lock:
            used_share = self._in_flight_by_team[team] / max(
                1, self._in_flight_by_team.total()
            )
            fair_share = admission.fair_share(
                team, self._share_by_team, self._in_flight_by_team
            )
        request = AdmissionRequest(
            choice.wait_s,
            choice.expected_s,
            choice.long_s,
            remaining_s,
            used_share,
            fair_share,
        )
        kind = admission.refusal_reason(request)
        if kind is not None:
            raise _rejection(kind)


def _rejection(kind: ErrorKind) -> HibiscusError:
    return HibiscusError(kind, _DETAIL_BY_KIND[kind], ExecutionStatus.NO)
