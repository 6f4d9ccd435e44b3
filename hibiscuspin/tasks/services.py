"""Runs calls to plain services; retries and hedges the repeatable ones."""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import hedging, retries
from hibiscuspin.edges import ServiceRequest, ServiceResponse, TargetError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.tasks.attempts import Attempt, AttemptCause, AttemptLog
from hibiscuspin.tasks.retries import SharedRetryBudget
from hibiscuspin.tasks.targets import Targets

__all__ = ["LiveServices"]

MAX_ATTEMPTS = 3
HEDGE_THREADS = 16


class _HedgeSucceededError(Exception):
    """The hedge responded before the first attempt."""


class _Dependencies(NamedTuple):
    targets: Targets
    clock: Clock
    attempts: AttemptLog
    retries: SharedRetryBudget
    executor: ThreadPoolExecutor
    hedge_slots: threading.BoundedSemaphore


class LiveServices:
    """Runs calls to plain services."""

    def __init__(
        self, targets: Targets, clock: Clock, attempts: AttemptLog
    ) -> None:
        self._dependencies = _Dependencies(
            targets,
            clock,
            attempts,
            SharedRetryBudget(),
            ThreadPoolExecutor(HEDGE_THREADS, thread_name_prefix="hedge"),
            threading.BoundedSemaphore(HEDGE_THREADS),
        )

    def call(
        self,
        service: str,
        call: ServiceRequest,
        deadline: float,
        repeatable: bool,
        team: str = "",
    ) -> ServiceResponse:
        """Runs one call; retries on another replica where that is safe.

        Raises:
            HibiscusError: The call failed; the error says whether it may have
                been executed.
        """
        self._dependencies.retries.count_first_attempt()
        running_call = _Call(self._dependencies, service, call, deadline, team)
        return running_call.run(repeatable)


class _Call:
    """One call and its attempts on replicas."""

    def __init__(
        self,
        dependencies: _Dependencies,
        service: str,
        call: ServiceRequest,
        deadline: float,
        team: str,
    ) -> None:
        self._dependencies = dependencies
        self._service = service
        self._call = call
        self._deadline = deadline
        self._team = team
        self._tried: set[str] = set()
        self._may_have_run = False
        self._hedge_at: float | None = None
        self._hedge: Future[ServiceResponse] | None = None

    def run(self, repeatable: bool) -> ServiceResponse:
        """Returns the first complete response."""
        cause: AttemptCause = "first"
        check = self._check_hedge if repeatable else None
        while True:
            target = self._next_target()
            try:
                self._plan_hedge(repeatable)
                return self._attempt(target, cause, check)
            except _HedgeSucceededError:
                assert self._hedge is not None
                return self._hedge.result()
            except TargetError as error:
                self._handle_failure(error, repeatable)
            response = self._await_hedge()
            if response is not None:
                return response
            cause = "retry"

    def _next_target(self) -> str:
        if len(self._tried) < MAX_ATTEMPTS:
            targets = self._dependencies.targets
            target = targets.choose_service(self._service, self._tried)
            if target is not None:
                self._tried.add(target)
                return target
        raise self._no_target_error()

    def _plan_hedge(self, repeatable: bool) -> None:
        self._hedge_at = None
        if repeatable and self._hedge is None:
            expected_s = self._dependencies.targets.expected_response_s(
                self._service
            )
            now = self._dependencies.clock.monotonic()
            self._hedge_at = hedging.hedge_at(now, expected_s, self._deadline)

    def _check_hedge(self) -> None:
        """Starts the hedge when due; raises once the hedge has succeeded."""
        now = self._dependencies.clock.monotonic()
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge_at = None
            self._start_hedge()
        hedge = self._hedge
        if hedge and hedge.done() and hedge.exception() is None:
            raise _HedgeSucceededError

    def _start_hedge(self) -> None:
        dependencies = self._dependencies
        target = dependencies.targets.choose_service(self._service, self._tried)
        if target is None or not dependencies.hedge_slots.acquire(
            blocking=False
        ):
            return
        if not dependencies.retries.try_spend():
            dependencies.hedge_slots.release()
            return
        self._tried.add(target)
        self._hedge = dependencies.executor.submit(
            self._attempt, target, "hedge", None
        )
        self._hedge.add_done_callback(
            lambda _: dependencies.hedge_slots.release()
        )

    def _await_hedge(self) -> ServiceResponse | None:
        """Waits for the hedge, if any; returns None if it fails or is late."""
        if self._hedge is None:
            return None
        remaining_s = self._deadline - self._dependencies.clock.monotonic()
        with contextlib.suppress(TargetError, FutureTimeoutError):
            return self._hedge.result(max(0.0, remaining_s))
        return None

    def _handle_failure(self, error: TargetError, repeatable: bool) -> None:
        ran = error.sent and not error.refused
        self._may_have_run = self._may_have_run or ran
        if ran and not repeatable:
            raise HibiscusError(
                ErrorKind.OUTCOME_UNKNOWN,
                "The call was sent, but no response arrived.",
            ) from error
        now = self._dependencies.clock.monotonic()
        if not retries.may_start(now, self._deadline):
            raise HibiscusError(
                ErrorKind.DEADLINE_EXCEEDED,
                "The deadline has passed.",
                self._execution_status(),
            ) from error
        if error.sent and not self._dependencies.retries.try_spend():
            raise self._no_target_error() from error

    def _attempt(
        self, target: str, cause: AttemptCause, check: Callable[[], None] | None
    ) -> ServiceResponse:
        dependencies = self._dependencies
        started_at_s = dependencies.clock.wall()
        started = dependencies.clock.monotonic()
        failure: ErrorKind | None = ErrorKind.TARGET_FAILED
        try:
            with dependencies.targets.track_request(target):
                service = dependencies.targets.service(target)
                response = service.call(self._call, self._deadline, check)
            failure = None
            seconds = dependencies.clock.monotonic() - started
            dependencies.targets.record_first_token(target, seconds)
            dependencies.targets.record_success(target)
            return response
        except TargetError as error:
            if error.refused:
                failure = ErrorKind.TARGET_REFUSED
            else:
                dependencies.targets.record_failure(target, silent=error.silent)
            raise
        except _HedgeSucceededError:
            failure = ErrorKind.CANCELLED
            dependencies.targets.record_failure(target, silent=False)
            raise
        finally:
            dependencies.attempts.record(
                Attempt(
                    request_id=self._call.request_id,
                    team=self._team,
                    path="service",
                    cause=cause,
                    target=target,
                    started_at_s=started_at_s,
                    seconds=dependencies.clock.monotonic() - started,
                    tokens=0,
                    error=failure,
                )
            )

    def _no_target_error(self) -> HibiscusError:
        return HibiscusError(
            ErrorKind.NO_TARGET,
            "No replica can serve the call.",
            self._execution_status(),
        )

    def _execution_status(self) -> ExecutionStatus:
        return (
            ExecutionStatus.UNKNOWN
            if self._may_have_run
            else ExecutionStatus.NO
        )
