"""Forwards callers' requests to discovered targets.

`decisions/attempts.py` decides the next step of a call; this module carries
it out, with one worker thread per attempt.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import attempts, hedging, placement, queueing
from hibiscuspin.decisions import retries as retry_budgets
from hibiscuspin.decisions.attempts import StepKind
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import PassedAnswer, PassedCall
from hibiscuspin.errors import ErrorKind, HibiscusError, Ran
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import (
    DEFAULT_ANSWER_S,
    DiscoveredTargets,
    Target,
)

__all__ = ["ForwardedCall", "Forwarder", "GivenUpError"]

# Per instance; each attempt blocks a thread of its own.
MAX_ATTEMPTS_AT_ONCE = 128
SERVER_ERROR = 500

_log = get_logger("live")


class GivenUpError(Exception):
    """An attempt was aborted because its response is no longer needed."""


class ForwardedCall(NamedTuple):
    """A request to forward.

    Attributes:
        passed: The request as it was received.
        route: Its route.
        service: The service that serves it.
        arrived_at: Monotonic time at which it had been read.
        deadline: Monotonic time at which its caller stops waiting.
        disconnected: Returns whether the caller has disconnected.
    """

    passed: PassedCall
    route: ForwardRoute
    service: str
    arrived_at: float
    deadline: float
    disconnected: Callable[[], bool]


class _Result(NamedTuple):
    """The result of one attempt: a response or an error."""

    target: Target
    answer: PassedAnswer | None
    error: TargetError | None
    took_s: float


class Forwarder:
    """Forwards calls of routes that return one complete response."""

    def __init__(
        self,
        targets: DiscoveredTargets,
        clock: Clock,
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._executor = ThreadPoolExecutor(
            MAX_ATTEMPTS_AT_ONCE, thread_name_prefix="attempt"
        )
        self._lock = threading.Lock()
        self._waiting_by_service: dict[str, int] = {}
        self._budget = retry_budgets.Budget()

    def stop(self) -> None:
        """Waits for the attempts in flight and ends the worker threads."""
        self._executor.shutdown()

    def forward(self, call: ForwardedCall) -> PassedAnswer:
        """Returns a target's response.

        Raises:
            HibiscusError: No target responded; the error gives the reason and
                whether the call was executed.
        """
        return _Race(self, call).run()

    def load(self, service: str) -> queueing.Load:
        """Returns a service's load as observed by this instance."""
        views = self._targets.views(service)
        now = self._clock.monotonic()
        awake = [view for view in views if view.rests_until <= now]
        answers = sorted(view.answer_s for view in views)
        if not self._targets.known:
            # Calls wait until the target list is read, within 0.1 s of start.
            return queueing.Load(0, 1, 0, DEFAULT_ANSWER_S)
        return queueing.Load(
            free=sum(max(0, view.free) for view in awake),
            slots=sum(view.slots for view in views),
            ahead=self._waiting_by_service.get(service, 0),
            answer_s=answers[len(answers) // 2] if answers else 0.0,
        )

    def _first_attempt(self) -> None:
        with self._lock:
            self._budget = retry_budgets.after_first(self._budget)

    def _extra_attempt(self) -> bool:
        with self._lock:
            spent = retry_budgets.spend(self._budget)
            if spent is None:
                return False
            self._budget = spent
            return True

    def _count_waiting(self, service: str, change: int) -> None:
        with self._lock:
            waiting = self._waiting_by_service.get(service, 0) + change
            self._waiting_by_service[service] = waiting


class _Race:
    """The attempts of one call; the first usable response wins."""

    def __init__(self, forwarder: Forwarder, call: ForwardedCall) -> None:
        self._forwarder = forwarder
        self._targets = forwarder._targets
        self._clock = forwarder._clock
        self._call = call
        self._deadline = min(
            call.deadline, call.arrived_at + call.route.timeout_s
        )
        self._repeatable = call.route.kind is CallKind.REPEATABLE
        self._results: queue.SimpleQueue[_Result] = queue.SimpleQueue()
        self._over = threading.Event()
        self._running = 0
        self._may_have_run = 0
        self._tried: list[str] = []
        self._hedge_at = self._deadline
        self._last_answer: PassedAnswer | None = None
        self._last_error: TargetError | None = None

    def run(self) -> PassedAnswer:
        service = self._call.service
        self._forwarder._count_waiting(service, 1)
        waiting = True
        try:
            while True:
                self._check_caller()
                step = self._next_step()
                if step.kind is StepKind.START:
                    started = self._start()
                    if started and waiting:
                        self._forwarder._count_waiting(service, -1)
                        waiting = False
                    if started:
                        continue
                    step = step._replace(
                        kind=StepKind.WAIT,
                        until=self._clock.monotonic() + queueing.POLL_S,
                    )
                if step.kind is StepKind.REJECT:
                    raise self._rejection(step)
                if step.kind is StepKind.GIVE_UP:
                    return self._give_up()
                answer = self._await(step.until)
                if answer is not None:
                    self._log_answer(answer)
                    return answer
        finally:
            self._over.set()
            if waiting:
                self._forwarder._count_waiting(service, -1)

    def _log_answer(self, answer: PassedAnswer) -> None:
        now = self._clock.monotonic()
        _log.info(
            "Call completed.",
            extra={
                "request_id": self._call.passed.request_id,
                "route": self._call.route.name,
                "service": self._call.service,
                "targets": self._tried,
                "status": answer.status,
                "took_s": round(now - self._call.arrived_at, 4),
                "list_age_s": round(now - self._targets.read_at, 2),
            },
        )

    def _next_step(self) -> attempts.Step:
        progress = attempts.Progress(
            self._repeatable,
            self._call.route.max_attempts,
            self._running,
            self._may_have_run,
            self._hedge_at,
            self._deadline,
        )
        load = self._forwarder.load(self._call.service)
        load = load._replace(ahead=max(0, load.ahead - 1))
        now = self._clock.monotonic()
        if self._running and now >= self._deadline:
            return attempts.Step(StepKind.GIVE_UP)
        return attempts.next_step(progress, load, now)

    def _start(self) -> bool:
        """Starts an attempt; returns False if none can be started now."""
        call = self._call
        views = self._targets.views(call.service)
        now = self._clock.monotonic()
        view = placement.place_call(views, self._tried, now)
        if view is None and self._tried and not self._running:
            # All targets were tried and refused; some may have slots again.
            self._tried.clear()
            return False
        if view is None:
            self._hedge_at = self._deadline
            return False
        if self._running and not self._forwarder._extra_attempt():
            self._hedge_at = self._deadline
            return False
        target = self._targets.get(view.name)
        if target is None:
            return False
        self._tried.append(view.name)
        if not self._may_have_run:
            self._forwarder._first_attempt()
        self._running += 1
        self._may_have_run += 1
        self._hedge_at = hedging.objective_hedge_at(
            now, view.answer_s, call.route.objective_s
        )
        self._targets.begin(target)
        self._forwarder._executor.submit(self._attempt, target)
        return True

    def _attempt(self, target: Target) -> None:
        started = self._clock.monotonic()
        answer = None
        error = None
        try:
            answer = target.calls.pass_on(
                self._call.passed,
                self._deadline,
                self._check_over,
                fresh=not self._repeatable,
            )
        except TargetError as failure:
            error = failure
        except GivenUpError:
            error = TargetError("attempt abandoned", sent=True)
        except Exception as failure:
            _log.exception("Attempt failed unexpectedly.")
            error = TargetError(repr(failure), sent=True)
        finally:
            self._targets.end(target)
        took_s = self._clock.monotonic() - started
        self._results.put(_Result(target, answer, error, took_s))

    def _check_over(self) -> None:
        if self._over.is_set():
            raise GivenUpError

    def _check_caller(self) -> None:
        if self._call.disconnected():
            _log.info(
                "Caller disconnected.",
                extra={"request_id": self._call.passed.request_id},
            )
            raise HibiscusError(
                ErrorKind.CANCELLED, "The caller has disconnected."
            )

    def _await(self, until: float) -> PassedAnswer | None:
        """Waits for a result; returns a response that completes the call."""
        left_s = until - self._clock.monotonic()
        try:
            result = self._results.get(timeout=max(0.0, min(left_s, 0.1)))
        except queue.Empty:
            return None
        self._running -= 1
        if result.error is not None:
            self._take_error(result, result.error)
            return None
        answer = result.answer
        if answer is None:
            return None
        self._targets.succeeded(result.target, answer_s=result.took_s)
        self._last_answer = answer
        final = answer.status < SERVER_ERROR or not self._repeatable
        return answer if final else None

    def _take_error(self, result: _Result, error: TargetError) -> None:
        self._last_error = error
        if error.refused or not error.sent:
            self._may_have_run -= 1
        self._targets.note(result.target, error)

    def _rejection(self, step: attempts.Step) -> HibiscusError:
        call = self._call
        _log.info(
            "Call rejected; no slot would be free in time.",
            extra={
                "request_id": call.passed.request_id,
                "service": call.service,
                "load": self._forwarder.load(call.service)._asdict(),
                "retry_after_s": step.retry_after_s,
            },
        )
        return HibiscusError(
            ErrorKind.NO_TARGET,
            "No target will have a free slot in time.",
            Ran.NO,
            step.retry_after_s,
        )

    def _give_up(self) -> PassedAnswer:
        call = self._call
        now = self._clock.monotonic()
        reason = str(self._last_error) if self._last_error else ""
        _log.info(
            "Call ended; no further attempt is possible.",
            extra={
                "request_id": call.passed.request_id,
                "service": call.service,
                "targets": self._tried,
                "may_have_run": self._may_have_run,
                "late": now >= self._deadline,
                "reason": reason,
            },
        )
        if self._last_answer is not None:
            return self._last_answer
        if not self._may_have_run:
            raise HibiscusError(
                ErrorKind.NO_TARGET, "No target accepted the call.", Ran.NO
            )
        if now >= self._deadline:
            raise HibiscusError(
                ErrorKind.DEADLINE_EXCEEDED,
                "No response arrived before the deadline.",
            )
        raise HibiscusError(
            ErrorKind.TARGET_FAILED, f"The target failed: {reason}"
        )
