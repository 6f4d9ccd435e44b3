"""Scores samples by calls to the operators' routes."""

from collections.abc import Callable, Sequence

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import scoring
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges import ScoringError
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.forwarding import ForwardedCall, Forwarder
from hibiscuspin.tasks.job_store import RewardRequest
from hibiscuspin.tasks.route_table import Routes

__all__ = ["RewardCaller", "RewardScorer"]

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300


class RewardCaller:
    """Sends reward calls as repeatable calls of their routes."""

    def __init__(
        self, routes: Routes, forwarder: Forwarder, clock: Clock
    ) -> None:
        self.routes = routes
        self.forwarder = forwarder
        self.clock = clock

    def scorer(
        self, request: RewardRequest, cancelled: Callable[[], bool]
    ) -> "RewardScorer":
        """Returns the scorer of one sample."""
        return RewardScorer(self, request, cancelled)

    def max_server_errors(self, request: RewardRequest, minimum: int) -> int:
        """Returns after how many server errors a sample is given up.

        Args:
            request: The sample's reward call.
            minimum: The fewest server errors; the route may allow more.
        """
        try:
            route = self.find_route(request)
        except HibiscusError:
            return minimum
        return max(minimum, route.max_attempts)

    def startable_calls(
        self, service: str, in_flight: int, waiting: int
    ) -> int:
        """Returns how many more reward calls may be sent to a service.

        Args:
            service: The service.
            in_flight: This instance's reward calls in flight to it.
            waiting: Its reward calls that have not been sent.
        """
        load = self.forwarder.load(service, deferrable=True)
        startable = scoring.startable_calls(load, in_flight)
        if load.is_limited:
            self.forwarder.request_tokens(service, waiting - startable)
        return startable

    def find_route(self, request: RewardRequest) -> ForwardRoute:
        """Returns the route of a reward call.

        Raises:
            HibiscusError: The table in force has no such route.
        """
        return self.routes.find(request.host, request.path, current=True)


class RewardScorer:
    """A `Scorer` whose score is the stamp of a successful response."""

    def __init__(
        self,
        caller: RewardCaller,
        request: RewardRequest,
        cancelled: Callable[[], bool],
    ) -> None:
        self.request_id = request.request_id
        self.targets: Sequence[str] = ()
        self._caller = caller
        self._request = request
        self._cancelled = cancelled
        self.service = self._pick_service()

    def _pick_service(self) -> str:
        try:
            route = self._caller.find_route(self._request)
        except HibiscusError:
            return ""
        return self._caller.routes.pick_service(route)

    def score(self, deadline: float) -> str:
        """Returns the stamp of a response with a success status."""
        self.targets = ()
        try:
            call = self._build_call(deadline)
            result = self._caller.forwarder.call(call)
        except HibiscusError as error:
            raise ScoringError(
                error.detail, retry_after_s=error.retry_after_s or 0.0
            ) from error
        self.targets = result.targets
        response = result.response
        if not MIN_SUCCESS_STATUS <= response.status < MIN_REDIRECT_STATUS:
            raise ScoringError(
                f"reward call answered with status {response.status}",
                result.server_errors,
            )
        return response.stamp

    def _build_call(self, deadline: float) -> ForwardedCall:
        request = self._request
        # The configuration may have changed since the last attempt.
        route = self._caller.find_route(request)
        self.service = self._caller.routes.pick_service(route)
        now = self._caller.clock.monotonic()
        return ForwardedCall(
            ProxiedRequest(
                request.request_id,
                "POST",
                request.target,
                {"Host": request.host},
                request.body,
            ),
            route._replace(kind=CallKind.REPEATABLE),
            self.service,
            now,
            min(deadline, now + route.timeout_s),
            self._cancelled,
            deferrable=True,
            priority=route.priority,
        )
