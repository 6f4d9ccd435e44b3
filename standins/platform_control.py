"""The platform's control address: usage reports and orders for engines.

It accepts at most `--rate` calls a second and checks the rules on holders of
duties; a call that breaks one gets 403 and is listed by `GET /received`. The
fault `unavailable` under `extra` answers orders with 409.
"""

import threading
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve

__all__ = ["ControlAddress", "DutyRules", "RuleBrokenError"]

RATE_PER_S = 50.0
LEASE_S = 3.0
RATE_WINDOW_S = 1.0


class RuleBrokenError(Exception):
    """A call broke a rule on holders of duties."""


class _Act(NamedTuple):
    """A call that was accepted for a subject; `at` is monotonic."""

    holder: str
    fencing: int
    at: float


class DutyRules:
    """The rules on holders, for each subject by itself.

    Attributes:
        counts_by_window: The accepted reports.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._acts_by_subject: dict[str, list[_Act]] = {}
        self.counts_by_window: dict[int, dict[str, int]] = {}

    def act(self, subject: str, holder: str, fencing: int, now: float) -> None:
        """Checks and records a call.

        Raises:
            RuleBrokenError: The call breaks a rule.
        """
        acts = self._acts_by_subject.setdefault(subject, [])
        if acts and fencing < acts[-1].fencing:
            raise RuleBrokenError(f"{fencing} after {acts[-1].fencing}")
        if any(a.fencing == fencing and a.holder != holder for a in acts):
            raise RuleBrokenError(f"two holders have the number {fencing}")
        others_at = [act.at for act in acts if act.holder != holder]
        own_at = [
            act.at
            for act in acts
            if act.holder == holder and others_at and act.at < others_at[-1]
        ]
        if own_at and now - own_at[-1] < self._lease_s:
            raise RuleBrokenError(f"{holder} acts again after another one")
        acts.append(_Act(holder, fencing, now))

    def report(self, window: int, counts: Mapping[str, int]) -> None:
        """Records the counts of a window.

        Raises:
            RuleBrokenError: The window was reported with other counts.
        """
        known = self.counts_by_window.setdefault(window, dict(counts))
        if known != counts:
            raise RuleBrokenError(f"{window}: {counts}, not {known} as before")


class ControlAddress:
    """The routes of the address, and what it has received.

    Attributes:
        received: The calls that were not refused for their rate, with their
            headers and response statuses.
        broken: The rules that calls broke.
    """

    def __init__(self, faults: Faults, rate_per_s: float = RATE_PER_S) -> None:
        self._faults = faults
        self._rate_per_s = rate_per_s
        self._lock = threading.Lock()
        self._recent: deque[float] = deque()
        self._rules = DutyRules()
        self.received: list[dict[str, Any]] = []
        self.broken: list[str] = []

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the HTTP interface."""
        return (
            Route("POST", "/usage", self._report),
            Route("POST", "/scale", self._order),
            Route("GET", "/received", self._show),
        )

    def _report(self, request: Request) -> Response:
        body = request.json(dict[str, Any])
        return self._accept(request, "usage", body)

    def _order(self, request: Request) -> Response:
        body = request.json(dict[str, Any])
        subject = f"{body['service']} {body['zone']}"
        return self._accept(request, subject, body)

    def _accept(
        self, request: Request, subject: str, body: dict[str, Any]
    ) -> Response:
        holder = request.headers.get("x-lease-holder", "")
        fencing = request.headers.get("x-fence-token", "")
        if not holder or not fencing.isdigit():
            return json_response({"error": "no holder"}, 400)
        with self._lock:
            if self._is_beyond_rate():
                return json_response({"error": "too many calls"}, 429)
            status = self._apply(subject, holder, int(fencing), body)
            self.received.append(
                {
                    "path": request.path,
                    "holder": holder,
                    "fencing": int(fencing),
                    "body": body,
                    "status": status,
                }
            )
            return json_response({}, status)

    def _apply(
        self, subject: str, holder: str, fencing: int, body: dict[str, Any]
    ) -> int:
        try:
            self._rules.act(subject, holder, fencing, monotonic())
            if "window_id" in body:
                self._rules.report(body["window_id"], body["counts"])
        except RuleBrokenError as error:
            self.broken.append(f"{subject}: {error}")
            return 403
        is_order = subject != "usage"
        return 409 if is_order and self._faults.extra("unavailable") else 200

    def _is_beyond_rate(self) -> bool:
        now = monotonic()
        while self._recent and self._recent[0] <= now - RATE_WINDOW_S:
            self._recent.popleft()
        if len(self._recent) >= self._rate_per_s:
            return True
        self._recent.append(now)
        return False

    def _show(self, request: Request) -> Response:
        with self._lock:
            return json_response(
                {"calls": self.received, "broken": self.broken}
            )


def main() -> None:
    """Runs the control address."""
    parser = argument_parser("Stand-in for the platform's control address.")
    parser.add_argument("--rate", type=float, default=RATE_PER_S)
    args = parser.parse_args()
    faults = Faults()
    serve(args, ControlAddress(faults, args.rate).routes(), faults)


if __name__ == "__main__":
    main()
