"""Forwards callers' requests to discovered targets.

`decisions/attempts.py` decides the next action on a call; this module
carries it out, with one worker thread per attempt.
"""

import math
import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import attempts, hedging, placement, queueing
from hibiscuspin.decisions import retries as retry_budgets
from hibiscuspin.decisions.attempts import ActionKind
from hibiscuspin.decisions.crashes import Verdict
from hibiscuspin.decisions.limits import Demand
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import (
    ProxiedRequest,
    ProxiedResponse,
    RelayTerms,
)
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import (
    CRASH_RECHECK_S,
    DEFAULT_RESPONSE_S,
    DiscoveredTarget,
    DiscoveredTargets,
)
from hibiscuspin.tasks.peer_targets import PeerTargets
from hibiscuspin.tasks.target_limits import Purpose, Send
from hibiscuspin.tasks.usage.recorder import NO_USAGE, UsageRecorder
from hibiscuspin.tasks.usage.runs import RunTracker

__all__ = [
    "AttemptAbandonedError",
    "CallResult",
    "ForwardedCall",
    "Forwarder",
]

# Per instance; each attempt blocks a thread of its own.
MAX_CONCURRENT_ATTEMPTS = 128
FIRST_SERVER_ERROR_STATUS = 500

_log = get_logger("live")


class AttemptAbandonedError(Exception):
    """An attempt was aborted because its response is no longer needed."""


class ForwardedCall(NamedTuple):
    """A request to forward.

    Attributes:
        request: The request as it was received.
        route: Its route.
        service: The service that serves it.
        arrived_at: Monotonic time at which the request had been read.
        deadline: Monotonic time at which its caller stops waiting.
        disconnected: Returns whether the caller has disconnected.
        deferrable: Whether no caller waits for it, as for reward calls.
        fingerprint: What identifies the request when it comes again; empty
            if it can't crash a target.
        resumes: The id of the request that brought the first event of the
            stream that this one resumes; empty for a new stream.
        resumed_after: The id of the last event that its caller has; 0 for a
            new stream.
        is_relayed: Whether another instance sends it, which reaches no target.
        avoid: The targets that have had it there.
        organisation: The organisation that sent it; empty for none.
        priority: Its priority; 0 is the highest.
    """

    request: ProxiedRequest
    route: ForwardRoute
    service: str
    arrived_at: float
    deadline: float
    disconnected: Callable[[], bool]
    deferrable: bool = False
    fingerprint: str = ""
    resumes: str = ""
    resumed_after: int = 0
    is_relayed: bool = False
    avoid: tuple[str, ...] = ()
    organisation: str = ""
    priority: int = 5

    @property
    def is_resumption(self) -> bool:
        """Whether it takes up a stream whose first events its caller has."""
        return bool(self.resumes or self.resumed_after)

    @property
    def ends_by(self) -> float:
        """When it has to end by its caller and its route, in monotonic time."""
        return min(self.deadline, self.arrived_at + self.route.timeout_s)

    @property
    def counted_for(self) -> str:
        """The organisation whose usage it is; empty for none.

        What another instance sends is counted there.
        """
        is_counted = not (self.deferrable or self.is_relayed)
        return self.organisation if is_counted else ""


class CallResult(NamedTuple):
    """The result of a call that a target responded to.

    Attributes:
        response: The response.
        targets: The targets that received the call.
        server_errors: How many of their responses were server errors.
    """

    response: ProxiedResponse
    targets: tuple[str, ...]
    server_errors: int


class _AttemptResult(NamedTuple):
    """The result of one attempt: a response or an error."""

    target: DiscoveredTarget
    response: ProxiedResponse | None
    error: TargetError | None
    took_s: float


class Forwarder:
    """Forwards calls of routes that return one complete response."""

    def __init__(
        self,
        targets: DiscoveredTargets,
        clock: Clock,
        peers: PeerTargets | None = None,
        usage: UsageRecorder = NO_USAGE,
        stop_by: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Creates the forwarder.

        Args:
            targets: The targets.
            clock: The time source.
            peers: The instances through which requests go while this one
                reaches no target; None for none.
            usage: Records requests when targets begin to run them.
            stop_by: Returns the monotonic time by which calls must have ended,
                infinite unless the instance is stopping.
        """
        self._stop_by = stop_by
        self._runs = RunTracker(usage, clock)
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._executor = ThreadPoolExecutor(
            MAX_CONCURRENT_ATTEMPTS, thread_name_prefix="attempt"
        )
        self._lock = threading.Lock()
        self._waiting_by_service: dict[str, int] = {}
        self._budget = retry_budgets.RetryBudget()

    @property
    def reaches_targets(self) -> bool:
        """Whether this instance can serve requests of others."""
        return not self._targets.reach.is_doubtful

    def stop(self) -> None:
        """Waits for the attempts in flight and ends the worker threads."""
        self._executor.shutdown()

    def forward(self, call: ForwardedCall) -> ProxiedResponse:
        """Returns a target's response.

        Raises:
            HibiscusError: The call failed; the error says whether it may have
                been executed.
        """
        return self.call(call).response

    def call(self, call: ForwardedCall) -> CallResult:
        """Returns a target's response, and how it was obtained.

        Raises:
            HibiscusError: As for `forward`.
        """
        race = _AttemptRace(self, call)
        response = race.run()
        return CallResult(response, tuple(race.targets), race.server_errors)

    def load(
        self, service: str, *, deferrable: bool = False
    ) -> queueing.ServiceLoad:
        """Returns a service's load as observed by this instance.

        Args:
            service: The service.
            deferrable: Whether the request to place is a reward call.
        """
        views = self._targets.views(service, deferrable=deferrable)
        now = self._clock.monotonic()
        available = [view for view in views if view.backoff_until <= now]
        response_times = sorted(view.answer_s for view in views)
        is_limited = bool(available) and all(v.is_limited for v in available)
        targets = self._targets
        if not (targets.list_received and targets.crashes.is_loaded):
            # Calls wait until both are read, usually within 0.1 s of start.
            return queueing.ServiceLoad(0, 1, 0, DEFAULT_RESPONSE_S)
        return queueing.ServiceLoad(
            free=sum(
                max(0, min(view.free_slots, int(view.sends)))
                if view.is_limited
                else max(0, view.free_slots)
                for view in available
            ),
            slots=sum(view.slots for view in views),
            ahead=self._waiting_by_service.get(service, 0),
            answer_s=response_times[len(response_times) // 2]
            if response_times
            else 0.0,
            is_limited=is_limited,
            token_wait_s=self._targets.limits.wait_s(service)
            if is_limited
            else 0.0,
        )

    def request_tokens(self, service: str, reward_calls: int) -> None:
        """Asks for tokens for reward calls that wait."""
        demand = Demand(deferrable=max(0, reward_calls))
        views = self._targets.views(service, deferrable=True)
        self._targets.request_tokens(
            f"rewards {service}", service, demand, views
        )

    def has_waiting(self, service: str) -> bool:
        """Returns whether calls wait for their first attempt."""
        return self._waiting_by_service.get(service, 0) > 0

    def _count_first_attempt(self) -> None:
        with self._lock:
            self._budget = retry_budgets.after_first_attempt(self._budget)

    def _spend_retry_budget(self) -> bool:
        with self._lock:
            spent = retry_budgets.after_extra_attempt(self._budget)
            if spent is None:
                return False
            self._budget = spent
            return True

    def _adjust_waiting_count(self, service: str, change: int) -> None:
        with self._lock:
            waiting = self._waiting_by_service.get(service, 0) + change
            self._waiting_by_service[service] = waiting


class _AttemptRace:
    """The attempts of one call; the first usable response wins."""

    def __init__(self, forwarder: Forwarder, call: ForwardedCall) -> None:
        self._forwarder = forwarder
        self._targets = forwarder._targets
        self._clock = forwarder._clock
        self._crashes = forwarder._targets.crashes
        self._call = call
        self._repeatable = call.route.kind is CallKind.REPEATABLE
        self._results: queue.SimpleQueue[_AttemptResult] = queue.SimpleQueue()
        self._finished = threading.Event()
        self._in_flight = 0
        self._may_have_run = 0
        self._tried: list[str] = list(call.avoid)
        self._last_sent_at: float | None = None
        # Attempts in flight at targets, by the target's name.
        self._sent_at_by_target: dict[str, float] = {}
        self.targets: list[str] = []
        self.server_errors = 0
        self._runs = forwarder._runs.track(
            call.request.request_id, call.counted_for
        )
        self._hedge_at = self._deadline
        self._last_response: ProxiedResponse | None = None
        self._last_error: TargetError | None = None

    @property
    def _deadline(self) -> float:
        return min(self._call.ends_by, self._forwarder._stop_by())

    def run(self) -> ProxiedResponse:
        service = self._call.service
        self._forwarder._adjust_waiting_count(service, 1)
        waiting = True
        try:
            while True:
                self._check_caller_connected()
                if not self._in_flight:
                    self._crashes.check(
                        self._call.fingerprint, self._call.request.request_id
                    )
                action = self._next_action()
                if action.kind is ActionKind.START:
                    started = self._start_attempt()
                    if started and waiting:
                        self._forwarder._adjust_waiting_count(service, -1)
                        waiting = False
                    if started:
                        continue
                    action = action._replace(
                        kind=ActionKind.WAIT,
                        until=self._clock.monotonic() + queueing.POLL_PERIOD_S,
                    )
                if action.kind is ActionKind.WAIT and not self._in_flight:
                    self._request_token()
                if action.kind is ActionKind.GIVE_UP:
                    return self._fail_or_return_last()
                if action.kind is ActionKind.REJECT:
                    raise self._rejection(action)
                response = self._await_result(action.until)
                if response is not None:
                    self._log_response(response)
                    return response
        finally:
            self._finished.set()
            self._runs.finish()
            if waiting:
                self._forwarder._adjust_waiting_count(service, -1)

    def _log_response(self, response: ProxiedResponse) -> None:
        now = self._clock.monotonic()
        _log.info(
            "Call completed.",
            extra={
                "request_id": self._call.request.request_id,
                "route": self._call.route.name,
                "organisation": self._call.organisation,
                "service": self._call.service,
                "targets": self.targets,
                "status": response.status,
                "took_s": round(now - self._call.arrived_at, 4),
                "list_age_s": round(now - self._targets.list_received_at, 2),
            },
        )

    def _next_action(self) -> attempts.Action:
        call = self._call
        verdict = self._crashes.verdict(call.fingerprint)
        if (
            verdict is Verdict.SUSPECT_ONCE
            and self._may_have_run
            and not self._in_flight
        ):
            return attempts.Action(ActionKind.GIVE_UP)
        hedge_at = (
            self._hedge_at if verdict is Verdict.NORMAL else self._deadline
        )
        has_peer = self._choose_peer() is not None
        unreachable = self._count_unreachable() if has_peer else 0
        if self._in_flight and self._in_flight == unreachable:
            hedge_at = self._clock.monotonic()
        progress = attempts.CallProgress(
            self._repeatable,
            call.route.max_attempts,
            self._in_flight,
            self._may_have_run - unreachable,
            hedge_at,
            self._deadline,
        )
        load = self._forwarder.load(call.service, deferrable=call.deferrable)
        load = load._replace(ahead=max(0, load.ahead - 1))
        if has_peer:
            # The other instance decides by its own load.
            load = load._replace(free=1)
        now = self._clock.monotonic()
        if self._in_flight and now >= self._deadline:
            return attempts.Action(ActionKind.GIVE_UP)
        return attempts.next_action(progress, load, now)

    def _choose_peer(self) -> DiscoveredTarget | None:
        """Returns the instance through which the next attempt goes, if any."""
        peers = self._forwarder._peers
        if peers is None or not self._targets.reach.needs_peer(
            self._last_sent_at, self._call.is_relayed
        ):
            return None
        return peers.choose(self._tried)

    def _may_send_through_peer(self) -> bool:
        """Returns whether an extra attempt is allowed beside those in flight.

        Those at targets that can't be reached don't count.
        """
        if self._in_flight == self._count_unreachable():
            return True
        return self._forwarder._spend_retry_budget()

    def _count_unreachable(self) -> int:
        """Returns the attempts in flight at targets that can't be reached.

        They don't keep a repeatable call from another attempt.
        """
        is_lost = self._repeatable and self._targets.reach.is_doubtful
        return len(self._sent_at_by_target) if is_lost else 0

    def _start_attempt(self) -> bool:
        """Starts an attempt; returns False if none can be started now."""
        call = self._call
        peer = self._choose_peer()
        if peer is not None and self._may_send_through_peer():
            return self._start_at(peer, self._call.route.objective_s)
        views = self._targets.views(call.service, deferrable=call.deferrable)
        now = self._clock.monotonic()
        view = placement.place_call(
            views,
            self._tried,
            now,
            unlimited_only=self._must_spare_limits(),
            suspect=self._crashes.verdict(call.fingerprint)
            is not Verdict.NORMAL,
        )
        if view is None and self._tried and not self._in_flight:
            # Every target was tried; some may have free slots by now.
            self._tried.clear()
            return False
        if view is None:
            self._hedge_at = self._deadline
            return False
        if self._in_flight and not self._forwarder._spend_retry_budget():
            self._hedge_at = self._deadline
            return False
        target = self._targets.get(view.name)
        if target is None:
            return False
        return self._start_at(target, view.answer_s)

    def _start_at(self, target: DiscoveredTarget, answer_s: float) -> bool:
        """Starts an attempt at a target, unless its request limit forbids it.

        Args:
            target: The target, or the instance that sends the request on.
            answer_s: The expected time until its response.
        """
        now = self._clock.monotonic()
        if not self._targets.try_start(target, self._next_send()):
            return False
        self._tried.append(target.name)
        self.targets.append(target.name)
        if not self._may_have_run:
            self._forwarder._count_first_attempt()
        self._in_flight += 1
        self._may_have_run += 1
        self._last_sent_at = now
        if not target.is_peer:
            self._sent_at_by_target[target.name] = now
        self._hedge_at = hedging.objective_hedge_at(
            now, answer_s, self._call.route.objective_s
        )
        self._forwarder._executor.submit(self._run_attempt, target)
        return True

    def _request_for(self, target: DiscoveredTarget) -> ProxiedRequest:
        request = self._call.request
        if not target.is_peer:
            return request
        used = self._may_have_run - self._count_unreachable() - 1
        terms = RelayTerms(
            max(1, self._call.route.max_attempts - used),
            tuple(name for name in self._tried if name != target.name),
        )
        return request._replace(relay=terms)

    def _must_spare_limits(self) -> bool:
        """Returns whether this attempt must not use up a target's limit.

        That is a hedge, and a retry while other calls wait for their first
        attempt.
        """
        if self._in_flight:
            return True
        return bool(self.targets) and self._forwarder.has_waiting(
            self._call.service
        )

    def _request_token(self) -> None:
        deferrable = self._call.deferrable
        self._targets.request_tokens(
            self._call.request.request_id,
            self._call.service,
            Demand(live=not deferrable, deferrable=deferrable),
            self._targets.views(self._call.service, deferrable=deferrable),
        )

    def _next_send(self) -> Send:
        if self._call.deferrable:
            purpose = Purpose.REWARD
        elif self._in_flight:
            purpose = Purpose.HEDGE
        else:
            purpose = Purpose.RETRY if self.targets else Purpose.CALL
        return Send(self._call.request.request_id, purpose)

    def _run_attempt(self, target: DiscoveredTarget) -> None:
        started = self._clock.monotonic()
        response = None
        error = None
        check_again = False
        run = self._runs.sent(target.name, self._targets.round_trip_s(target))
        try:
            target.check_accepts_work()
            with self._crashes.track(self._call.fingerprint, target.name):
                response = target.client.send(
                    self._request_for(target),
                    self._deadline,
                    self._check_finished,
                    fresh=not self._repeatable,
                )
            self._runs.answered(run)
        except TargetError as failure:
            error = failure
            self._runs.failed(run, failure)
            check_again = self._record_if_crashed(target, failure, started)
        except AttemptAbandonedError:
            error = TargetError("attempt abandoned", sent=True)
        except Exception as failure:
            _log.exception("Attempt failed unexpectedly.")
            error = TargetError(repr(failure), sent=True)
        finally:
            self._targets.request_ended(target)
        took_s = self._clock.monotonic() - started
        self._results.put(_AttemptResult(target, response, error, took_s))
        if check_again and error is not None:
            time.sleep(CRASH_RECHECK_S)
            self._record_if_crashed(target, error, started)

    def _record_if_crashed(
        self, target: DiscoveredTarget, error: TargetError, sent_at: float
    ) -> bool:
        return self._targets.record_if_crashed(
            target,
            error,
            self._call.fingerprint,
            self._call.request.request_id,
            sent_at,
        )

    def _check_finished(self) -> None:
        if self._finished.is_set():
            raise AttemptAbandonedError

    def _check_caller_connected(self) -> None:
        if self._call.disconnected():
            _log.info(
                "Caller disconnected.",
                extra={"request_id": self._call.request.request_id},
            )
            raise HibiscusError(
                ErrorKind.CANCELLED, "The caller has disconnected."
            )

    def _await_result(self, until: float) -> ProxiedResponse | None:
        """Waits for a result; returns a response that completes the call."""
        remaining_s = until - self._clock.monotonic()
        self._runs.check()
        try:
            result = self._results.get(timeout=max(0.0, min(remaining_s, 0.1)))
        except queue.Empty:
            return None
        self._in_flight -= 1
        self._sent_at_by_target.pop(result.target.name, None)
        if result.error is not None:
            self._handle_error(result, result.error)
            return None
        if result.target.is_peer:
            # They have not answered while another instance has been served.
            for name, sent_at in self._sent_at_by_target.items():
                self._targets.reach.record_unanswered(name, sent_at)
        response = result.response
        if response is None:
            return None
        self._targets.record_success(result.target, answer_s=result.took_s)
        self._crashes.record_success(
            self._call.fingerprint, self._call.request.request_id
        )
        self._last_response = response
        is_server_error = response.status >= FIRST_SERVER_ERROR_STATUS
        self.server_errors += is_server_error
        is_final = not is_server_error or not self._repeatable
        return response if is_final else None

    def _handle_error(self, result: _AttemptResult, error: TargetError) -> None:
        self._last_error = error
        if error.refused or not error.sent:
            self._may_have_run -= 1
        self._targets.record_error(
            result.target,
            error,
            self._call.request.request_id,
            self._clock.monotonic() - result.took_s,
        )

    def _rejection(self, action: attempts.Action) -> HibiscusError:
        call = self._call
        _log.info(
            "Call rejected; no slot would be free in time.",
            extra={
                "request_id": call.request.request_id,
                "organisation": call.organisation,
                "service": call.service,
                "load": self._forwarder.load(call.service)._asdict(),
                "retry_after_s": action.retry_after_s,
            },
        )
        return HibiscusError(
            ErrorKind.NO_TARGET,
            "No target will have a free slot in time.",
            ExecutionStatus.NO,
            action.retry_after_s,
        )

    def _fail_or_return_last(self) -> ProxiedResponse:
        call = self._call
        now = self._clock.monotonic()
        reason = str(self._last_error) if self._last_error else ""
        _log.info(
            "Call ended; no further attempt is possible.",
            extra={
                "request_id": call.request.request_id,
                "organisation": call.organisation,
                "service": call.service,
                "targets": self.targets,
                "may_have_run": self._may_have_run,
                "late": now >= self._deadline,
                "reason": reason,
            },
        )
        if self._last_response is not None:
            return self._last_response
        if not self._may_have_run:
            raise HibiscusError(
                ErrorKind.NO_TARGET,
                "No target accepted the call.",
                ExecutionStatus.NO,
            )
        if now >= self._deadline:
            raise HibiscusError(
                ErrorKind.DEADLINE_EXCEEDED,
                "No response arrived before the deadline.",
            )
        raise HibiscusError(
            ErrorKind.TARGET_FAILED, f"The target failed: {reason}"
        )
