"""Forwards streams to callers; resumes them on another target if allowed."""

import time
from collections.abc import Iterator, Sequence

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import placement, queueing
from hibiscuspin.decisions.crashes import Verdict
from hibiscuspin.decisions.limits import Demand
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import EventStream, ServerSentEvent
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import (
    CRASH_RECHECK_S,
    DiscoveredTarget,
    DiscoveredTargets,
)
from hibiscuspin.tasks.forwarding import ForwardedCall
from hibiscuspin.tasks.target_limits import Purpose, Send

__all__ = ["StreamForwarder"]

# Callers disconnect after a gap of 2 s. A stream that can't go on at another
# target is not cut before its deadline: the target may be slow but sound.
STALL_TIMEOUT_S = 1.2

_log = get_logger("live")


class _CallerDisconnectedError(Exception):
    """The caller has disconnected."""


class StreamForwarder:
    """Forwards calls of streaming routes."""

    def __init__(self, targets: DiscoveredTargets, clock: Clock) -> None:
        self._targets = targets
        self._clock = clock

    def open(
        self, call: ForwardedCall
    ) -> tuple[Sequence[tuple[str, str]], Iterator[bytes]]:
        """Returns the first target's headers and an iterator over the events.

        Raises:
            HibiscusError: No target started the stream, or the caller has
                disconnected.
        """
        stream = _ForwardedStream(self._targets, self._clock, call)
        try:
            headers = stream.start()
        except _CallerDisconnectedError:
            raise HibiscusError(
                ErrorKind.CANCELLED, "The caller has disconnected."
            ) from None
        return headers, stream.event_batches()


class _ForwardedStream:
    def __init__(
        self, targets: DiscoveredTargets, clock: Clock, call: ForwardedCall
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._crashes = targets.crashes
        self._call = call
        self._tried: list[str] = []
        self._may_have_run = 0
        self._last_event_number = 0
        self._sent_at = 0.0
        self._target: DiscoveredTarget | None = None
        self._events: EventStream | None = None

    def start(self) -> Sequence[tuple[str, str]]:
        """Opens the stream on a target."""
        error: TargetError | None = None
        while self._may_start():
            self._crashes.check(
                self._call.fingerprint, self._call.request.request_id
            )
            target = self._start_request()
            if target is None:
                break
            self._tried.append(target.name)
            try:
                return self._open(target)
            except TargetError as failure:
                error = failure
                self._record_failure(target, failure)
        raise self._start_error(error)

    def _start_request(self) -> DiscoveredTarget | None:
        """Returns the next target, once its request limit allows a request."""
        call = self._call
        send = Send(call.request.request_id, Purpose.STREAM)
        while True:
            now = self._clock.monotonic()
            views = self._targets.views(call.service)
            is_suspect = (
                self._crashes.verdict(call.fingerprint) is not Verdict.NORMAL
            )
            view = placement.place_call(
                views, self._tried, now, suspect=is_suspect
            )
            target = self._targets.get(view.name) if view else None
            if target is not None and self._targets.try_start(target, send):
                return target
            wait_s = self._targets.limits.wait_s(call.service)
            if now + wait_s >= call.deadline or not any(
                view.is_limited and view.name not in self._tried
                for view in views
            ):
                return None
            self._targets.request_tokens(
                call.request.request_id, call.service, Demand(live=1), views
            )
            time.sleep(queueing.POLL_PERIOD_S)
            self._check_caller_connected()

    def _may_start(self) -> bool:
        route = self._call.route
        max_attempts = route.max_attempts if route.resumable else 1
        in_time = self._clock.monotonic() < self._call.deadline
        verdict = self._crashes.verdict(self._call.fingerprint)
        if verdict is Verdict.SUSPECT_ONCE and self._may_have_run:
            return False
        return self._may_have_run < max_attempts and in_time

    def _open(self, target: DiscoveredTarget) -> Sequence[tuple[str, str]]:
        self._may_have_run += 1
        self._sent_at = self._clock.monotonic()
        try:
            events = target.client.open_stream(
                self._call.request, self._last_event_number, self._read_limits()
            )
        except BaseException:
            self._targets.request_ended(target)
            raise
        self._target, self._events = target, events
        _log.info(
            "Stream opened.",
            extra={
                "request_id": self._call.request.request_id,
                "service": self._call.service,
                "target": target.name,
                "software_version": target.record.software_version,
                "resumes": self._call.resumes,
                "after": self._last_event_number or self._call.resumed_after,
            },
        )
        return events.headers

    def _read_limits(self) -> WaitLimits:
        deadline = self._call.deadline
        stall_s = STALL_TIMEOUT_S
        if not self._call.route.resumable:
            stall_s = max(0.0, deadline - self._clock.monotonic())
        return WaitLimits(deadline, stall_s, self._check_caller_connected)

    def _check_caller_connected(self) -> None:
        if self._call.disconnected():
            raise _CallerDisconnectedError

    def _record_failure(
        self, target: DiscoveredTarget, error: TargetError
    ) -> None:
        if error.refused or not error.sent:
            self._may_have_run -= 1
        request_id = self._call.request.request_id
        if self._record_if_crashed(target, error):
            time.sleep(CRASH_RECHECK_S)
            self._record_if_crashed(target, error)
        self._targets.record_error(target, error, request_id)

    def _record_if_crashed(
        self, target: DiscoveredTarget, error: TargetError
    ) -> bool:
        return self._targets.record_if_crashed(
            target,
            error,
            self._call.fingerprint,
            self._call.request.request_id,
            self._sent_at,
        )

    def _start_error(self, error: TargetError | None) -> HibiscusError:
        if self._may_have_run:
            return HibiscusError(
                ErrorKind.TARGET_FAILED, f"The stream failed: {error}"
            )
        return HibiscusError(
            ErrorKind.NO_TARGET,
            "No target accepted the stream.",
            ExecutionStatus.NO,
            self._retry_after_s(),
        )

    def _retry_after_s(self) -> float | None:
        wait_s = self._targets.limits.wait_s(self._call.service)
        return min(queueing.MAX_RETRY_AFTER_S, wait_s) or None

    def event_batches(self) -> Iterator[bytes]:
        """Yields complete events until the stream ends."""
        try:
            while True:
                try:
                    events = self._read()
                except TargetError as error:
                    self._resume(error)
                    continue
                if not events:
                    self._crashes.record_success(
                        self._call.fingerprint, self._call.request.request_id
                    )
                    return
                for event in events:
                    self._last_event_number = (
                        event.number or self._last_event_number
                    )
                yield b"".join(event.raw for event in events)
        except _CallerDisconnectedError:
            _log.info(
                "Caller disconnected.",
                extra={"request_id": self._call.request.request_id},
            )
        finally:
            self._close()

    def _read(self) -> list[ServerSentEvent]:
        if self._events is None:
            raise TargetError("the stream is not open", sent=False)
        return self._events.read(self._read_limits())

    def _resume(self, error: TargetError) -> None:
        """Resumes on another target, or raises the error."""
        if self._target is not None:
            self._record_failure(self._target, error)
        self._close()
        if not self._call.route.resumable:
            raise error
        try:
            self.start()
        except HibiscusError:
            raise error from None
        _log.info(
            "Stream resumed after a target failed.",
            extra={
                "request_id": self._call.request.request_id,
                "after": self._last_event_number,
                "reason": str(error),
            },
        )

    def _close(self) -> None:
        if self._events is not None:
            self._events.close()
        if self._target is not None:
            self._targets.request_ended(self._target)
        self._target = self._events = None
