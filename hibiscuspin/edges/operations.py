"""Administration routes for on-call operators.

They show the status of all instances, self-checks, the attempts of a request
and reports.
"""

from typing import Any, TypedDict

from hibiscuspin.clock import Clock, monotonic
from hibiscuspin.edges import (
    InstanceList,
    PlatformStore,
    StoreError,
    TargetError,
)
from hibiscuspin.edges.auth import require_token
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.report import REPORTS
from hibiscuspin.report.engine import Answer, ReportInput
from hibiscuspin.tasks.configuration import CONFIG_KEY, Configuration
from hibiscuspin.tasks.exchange import InstanceStatus, MetricsExchange

__all__ = ["Check", "OperationsInterface", "StatusAnswer"]

CALL_TIMEOUT_S = 2.0
CLOCK_TOLERANCE_S = 1.0


class StatusAnswer(TypedDict):
    """The status of all live instances."""

    instances: list[InstanceStatus]


class Check(TypedDict):
    """The result of one self-check."""

    check: str
    passed: bool
    seen: str


class DoctorAnswer(TypedDict):
    """The results of all self-checks."""

    checks: list[Check]


class AttemptsAnswer(TypedDict):
    """The attempts of one request, ordered by start time."""

    request_id: str
    attempts: list[dict[str, Any]]


class OperationsInterface:
    """Lets operators inspect all instances from any one of them."""

    def __init__(
        self,
        token: str,
        configuration: Configuration,
        exchange: MetricsExchange,
        store: PlatformStore,
        instances: InstanceList,
        clock: Clock,
    ) -> None:
        self._token = token
        self._configuration = configuration
        self._exchange = exchange
        self._store = store
        self._instances = instances
        self._clock = clock

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of this interface."""
        routes = (
            Route(
                "GET",
                "/admin/v1/status",
                self._show_status,
                summary="Shows the status of all live instances.",
                response_type=StatusAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/doctor",
                self._run_checks,
                summary="Checks configuration, store, list, peers and clock.",
                response_type=DoctorAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/requests/{request_id}",
                self._show_attempts,
                summary="Shows the attempts of a request on all instances.",
                response_type=AttemptsAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/reports/{name}",
                self._show_report,
                summary="Builds a report from the data of all instances.",
                response_type=Answer,
            ),
        )
        return tuple(
            route._replace(handler=require_token(self._token, route.handler))
            for route in routes
        )

    def _show_status(self, request: Request) -> Response:
        return json_response({"instances": self._exchange.statuses()})

    def _show_attempts(self, request: Request, request_id: str) -> Response:
        attempts_by_instance = self._exchange.attempts(request_id)
        attempts = [
            {"instance": instance, **attempt._asdict()}
            for instance, instance_attempts in attempts_by_instance.items()
            for attempt in instance_attempts
        ]
        if not attempts:
            raise HibiscusError(
                ErrorKind.NOT_FOUND,
                "No instance has an attempt of this request.",
            )
        attempts.sort(key=lambda attempt: float(attempt["started_at_s"]))
        return json_response({"request_id": request_id, "attempts": attempts})

    def _show_report(self, request: Request, name: str) -> Response:
        report = REPORTS.get(name)
        if report is None:
            raise HibiscusError(
                ErrorKind.NOT_FOUND, f"Report {name!r} does not exist."
            )
        view = ReportInput(
            self._configuration.config(),
            self._exchange.snapshots(),
            self._clock.wall(),
        )
        return json_response(report.build(view))

    def _run_checks(self, request: Request) -> Response:
        checks = [
            self._check_config(),
            self._check_store(),
            self._check_instance_list(),
            self._check_peers(),
            self._check_clock(),
        ]
        return json_response({"checks": checks})

    def _check_config(self) -> Check:
        revision = self._configuration.revision
        return _check_result("configuration known", revision > 0, f"{revision}")

    def _check_store(self) -> Check:
        started = monotonic()
        try:
            self._store.get(CONFIG_KEY, started + CALL_TIMEOUT_S)
        except StoreError as error:
            return _check_result("store reachable", False, str(error))
        return _check_result("store reachable", True, _format_elapsed(started))

    def _check_instance_list(self) -> Check:
        started = monotonic()
        try:
            instances = self._instances.instances(started + CALL_TIMEOUT_S)
        except TargetError as error:
            return _check_result("instance list reachable", False, str(error))
        return _check_result(
            "instance list reachable", True, f"{len(instances)} listed"
        )

    def _check_peers(self) -> Check:
        states = [status["state"] for status in self._exchange.statuses()]
        unreachable = states.count("unreachable")
        seen = f"{len(states) - unreachable} of {len(states)} answer"
        return _check_result("instances answer", not unreachable, seen)

    def _check_clock(self) -> Check:
        now_s = self._clock.wall()
        offsets = [
            s.taken_at_s - now_s for s in self._exchange.fetch_snapshots()
        ]
        max_offset_s = max((abs(offset) for offset in offsets), default=0.0)
        passed = max_offset_s <= CLOCK_TOLERANCE_S
        return _check_result(
            "clock agrees with peers", passed, f"{max_offset_s:.3f} s"
        )


def _check_result(name: str, passed: bool, seen: str) -> Check:
    return {"check": name, "passed": passed, "seen": seen}


def _format_elapsed(started: float) -> str:
    return f"{(monotonic() - started) * 1000:.1f} ms"
