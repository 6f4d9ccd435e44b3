"""Forwards streams to callers; resumes them on another target if allowed."""

import math
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NoReturn

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import event_order, placement, queueing
from hibiscuspin.decisions.crashes import Verdict
from hibiscuspin.decisions.limits import Demand
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.samples import STARTED_URGENCY
from hibiscuspin.decisions.software import Software, may_continue
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    EventStream,
    ProxiedRequest,
    RelayTerms,
    ServerSentEvent,
)
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.discovered import (
    CRASH_RECHECK_S,
    REFUSAL_BACKOFF_S,
    DiscoveredTarget,
    DiscoveredTargets,
)
from hibiscuspin.tasks.forwarding import ForwardedCall
from hibiscuspin.tasks.incarnations import serving_software
from hibiscuspin.tasks.peer_targets import PeerTargets
from hibiscuspin.tasks.stream_exchange import StreamExchange
from hibiscuspin.tasks.target_limits import Purpose, Send
from hibiscuspin.tasks.usage.recorder import NO_USAGE, UsageRecorder
from hibiscuspin.tasks.usage.runs import RunTracker

__all__ = ["StreamForwarder"]

# Callers disconnect after a gap of 2 s. A stream that can't go on at another
# target is not cut before its deadline: the target may be slow but sound.
STALL_TIMEOUT_S = 1.2
# How long a stream with events waits for a free slot.
RESUME_TIMEOUT_S = 1.2
# Equal to no target's.
UNKNOWN_SOFTWARE = Software("", "")

_log = get_logger("live")


class _CallerDisconnectedError(Exception):
    """The caller has disconnected."""


class StreamForwarder:
    """Forwards calls of streaming routes."""

    def __init__(
        self,
        targets: DiscoveredTargets,
        origins: StreamExchange,
        clock: Clock,
        metrics: Metrics | None = None,
        peers: PeerTargets | None = None,
        usage: UsageRecorder = NO_USAGE,
        stop_by: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._stop_by = stop_by
        self._runs = RunTracker(usage, clock, streams=True)
        self._peers = peers
        self._targets = targets
        self._origins = origins
        self._clock = clock
        self._metrics = metrics or Metrics()

    def open(
        self, call: ForwardedCall
    ) -> tuple[Sequence[tuple[str, str]], Iterator[bytes]]:
        """Returns the first target's headers and an iterator over the events.

        Waits for the first event: until then the stream may begin at any
        target.

        Raises:
            HibiscusError: No target started the stream, none may resume it,
                or the caller has disconnected.
        """
        stream = _ForwardedStream(
            self._targets,
            self._origins,
            self._clock,
            call,
            self._peers,
            self._runs,
            self._stop_by,
        )
        try:
            stream.bind_to_origin()
            headers = stream.begin()
        except _CallerDisconnectedError:
            raise HibiscusError(
                ErrorKind.CANCELLED, "The caller has disconnected."
            ) from None
        except HibiscusError as error:
            if call.is_resumption:
                self._metrics.resumed_streams.labels(str(error.kind)).inc()
            raise
        finally:
            stream.runs.finish()
        if call.is_resumption:
            self._metrics.resumed_streams.labels("resumed").inc()
        return headers, stream.event_batches()


class _ForwardedStream:
    def __init__(
        self,
        targets: DiscoveredTargets,
        origins: StreamExchange,
        clock: Clock,
        call: ForwardedCall,
        peers: PeerTargets | None,
        runs: RunTracker,
        stop_by: Callable[[], float],
    ) -> None:
        self._stop_by = stop_by
        self.runs = runs.track(call.request.request_id, call.counted_for)
        self._run = 0
        self._peers = peers
        self._targets = targets
        self._origins = origins
        self._clock = clock
        self._crashes = targets.crashes
        self._call = call
        # What generated the first event; only its targets may go on.
        self._begun_by: Software | None = None
        self._tried: list[str] = list(call.avoid)
        self._may_have_run = 0
        self._last_event_number = 0
        # Whether the open response has to go on after the last event.
        self._is_resumed = False
        # Why no further event of the open response may be forwarded.
        self._order_error: TargetError | None = None
        self._sent_at = 0.0
        # When the target last sent something, or got the request.
        self._answered_at = 0.0
        self._refused_until = 0.0
        self._target: DiscoveredTarget | None = None
        self._events: EventStream | None = None
        self._first_events: list[ServerSentEvent] = []
        self._last_error: TargetError | None = None

    @property
    def _deadline(self) -> float:
        return min(self._call.deadline, self._stop_by())

    @property
    def _last_number(self) -> int:
        """The id of the last event that the caller has; 0 for none."""
        return self._last_event_number or self._call.resumed_after

    def bind_to_origin(self) -> None:
        """Finds out what began the stream that the caller takes up again.

        Raises:
            HibiscusError: `STREAM_NOT_RESUMABLE`, if that is unknown or its
                service no longer serves the route.
        """
        call = self._call
        if not call.is_resumption:
            return
        self._begun_by = self._origins.find(call.resumes)
        if self._begun_by is None:
            self._refuse_resumption("no instance knows what began it")
        elif self._begun_by.service not in call.route.weight_by_service:
            self._refuse_resumption("its service no longer serves the route")
        else:
            self._call = call._replace(
                service=self._begun_by.service,
                request=call.request._replace(urgency=STARTED_URGENCY),
            )

    def _refuse_resumption(self, reason: str) -> NoReturn:
        _log.info(
            "Stream not resumed.",
            extra={
                "request_id": self._call.request.request_id,
                "organisation": self._call.organisation,
                "resumes": self._call.resumes,
                "after": self._last_event_number or self._call.resumed_after,
                "begun_by": self._begun_by,
                "reason": reason,
            },
        )
        if self._may_have_run:
            raise self._start_error(self._last_error)
        raise HibiscusError(
            ErrorKind.STREAM_NOT_RESUMABLE,
            f"The stream can't go on: {reason}; begin it anew.",
        )

    def begin(self) -> Sequence[tuple[str, str]]:
        """Opens the stream and waits for its first events.

        Returns:
            The headers of the target that generated them.

        Raises:
            HibiscusError: No target generated any.
        """
        while True:
            headers = self.start()
            try:
                self._first_events = self._read()
                if not (self._first_events or self._call.is_resumption):
                    raise TargetError("stream without an event", sent=True)
                self.runs.answered(self._run)
            except TargetError as error:
                self._end_attempt(error)
                if not self._call.route.resumable:
                    raise self._start_error(error) from error
                continue
            except BaseException:
                self._close()
                raise
            self._record_origin()
            return headers

    def _record_origin(self) -> None:
        """Tells others what began the stream, before its first event leaves."""
        if not self._first_events or self._begun_by is not None:
            return
        if self._target is None:
            return
        if not self._call.route.resumable:
            return
        request_id = self._call.request.request_id
        if self._target.is_peer:
            found = self._origins.find_relayed(
                request_id, self._target.record.name
            )
        else:
            found = self._serving_software()
        self._begun_by = found or UNKNOWN_SOFTWARE
        if self._begun_by.version:
            record = (
                self._origins.record_relayed
                if self._call.is_relayed
                else self._origins.record
            )
            record(request_id, self._begun_by, self._call.deadline)

    def start(self) -> Sequence[tuple[str, str]]:
        """Opens the stream on a target.

        Returns:
            The headers of its response.

        Raises:
            HibiscusError: No target may continue the stream, or none did.
        """
        if self._begun_by is not None:
            self._refused_until = self._clock.monotonic() + RESUME_TIMEOUT_S
        while self._may_start():
            self._crashes.check(
                self._call.fingerprint, self._call.request.request_id
            )
            target = self._start_request()
            if target is None:
                break
            self._tried.append(target.name)
            try:
                headers = self._open(target)
            except TargetError as failure:
                self._last_error = failure
                self._record_failure(target, failure)
                continue
            if self._may_go_on():
                return headers
            self._last_error = TargetError(
                f"target {target.name} may have other software than listed",
                sent=True,
            )
            self.runs.failed(self._run, self._last_error)
            self._close()
        raise self._start_error(self._last_error)

    def _may_go_on(self) -> bool:
        """Returns whether the open response may continue the stream."""
        return self._begun_by is None or may_continue(
            self._begun_by, self._serving_software()
        )

    def _serving_software(self) -> Software | None:
        """Returns what generates the events of the open response."""
        target, events = self._target, self._events
        if target is None or events is None:
            return None
        if target.is_peer:
            # The other instance has looked at it.
            return self._begun_by
        return serving_software(target, events, self._clock)

    def _start_request(self) -> DiscoveredTarget | None:
        """Returns the next target, once its request limit allows a request."""
        call = self._call
        send = Send(call.request.request_id, Purpose.STREAM)
        peer = self._choose_peer()
        if peer is not None and self._targets.try_start(peer, send):
            return peer
        while True:
            now = self._clock.monotonic()
            views = self._usable_views()
            is_suspect = (
                self._crashes.verdict(call.fingerprint) is not Verdict.NORMAL
            )
            view = placement.place_call(
                views, self._tried, now, suspect=is_suspect
            )
            target = self._targets.get(view.name) if view else None
            if target is not None and self._targets.try_start(target, send):
                return target
            if self._may_wait_for_slot(views, now):
                self._tried.clear()
                time.sleep(REFUSAL_BACKOFF_S)
            elif self._wait_for_tokens(views, now):
                time.sleep(queueing.POLL_PERIOD_S)
            else:
                return None
            self._check_caller_connected()

    def _choose_peer(self) -> DiscoveredTarget | None:
        """Returns the instance through which the stream goes, if any."""
        last_sent_at = self._answered_at if self._last_error else None
        if self._peers is None or not self._targets.reach.needs_peer(
            last_sent_at, self._call.is_relayed
        ):
            return None
        return self._peers.choose(self._tried)

    def _request_for(self, target: DiscoveredTarget) -> ProxiedRequest:
        request = self._call.request
        if not target.is_peer:
            return request
        remaining = self._call.route.max_attempts - self._may_have_run + 1
        avoid = tuple(name for name in self._tried if name != target.name)
        return request._replace(relay=RelayTerms(max(1, remaining), avoid))

    def _usable_views(self) -> list[TargetView]:
        """Returns the targets that may begin or continue the stream."""
        views = self._targets.views(self._call.service)
        if self._begun_by is None:
            return views
        usable = [
            view
            for view in views
            if may_continue(self._begun_by, view.software)
        ]
        if not usable:
            self._refuse_resumption("no target of its software version is left")
        return usable

    def _may_wait_for_slot(
        self, views: Sequence[TargetView], now: float
    ) -> bool:
        """Returns whether a stream with events waits for a free slot.

        Its callers wait for its next event for as long.
        """
        error = self._last_error
        return (
            self._begun_by is not None
            and error is not None
            and error.refused
            and not error.draining
            and all(view.name in self._tried for view in views)
            and now < min(self._refused_until, self._deadline)
        )

    def _wait_for_tokens(self, views: Sequence[TargetView], now: float) -> bool:
        """Asks for tokens; returns whether they may come in time."""
        call = self._call
        wait_s = self._targets.limits.wait_s(call.service)
        if now + wait_s >= self._deadline or not any(
            view.is_limited and view.name not in self._tried for view in views
        ):
            return False
        self._targets.request_tokens(
            call.request.request_id, call.service, Demand(live=1), views
        )
        return True

    def _may_start(self) -> bool:
        route = self._call.route
        max_attempts = route.max_attempts if route.resumable else 1
        in_time = self._clock.monotonic() < self._deadline
        verdict = self._crashes.verdict(self._call.fingerprint)
        if verdict is Verdict.SUSPECT_ONCE and self._may_have_run:
            return False
        return self._may_have_run < max_attempts and in_time

    def _open(self, target: DiscoveredTarget) -> Sequence[tuple[str, str]]:
        self._may_have_run += 1
        self._sent_at = self._answered_at = self._clock.monotonic()
        self._run = self.runs.sent(
            target.name, self._targets.round_trip_s(target)
        )
        try:
            events = target.client.open_stream(
                self._request_for(target),
                self._last_event_number,
                self._read_limits(),
                fresh=not self._call.route.resumable,
            )
        except BaseException:
            self._targets.request_ended(target)
            raise
        self._target, self._events = target, events
        self._is_resumed = self._last_number > 0
        self._order_error = None
        _log.info(
            "Stream opened.",
            extra={
                "request_id": self._call.request.request_id,
                "organisation": self._call.organisation,
                "service": self._call.service,
                "target": target.name,
                "software_version": target.record.software_version,
                "resumes": self._call.resumes,
                "after": self._last_event_number or self._call.resumed_after,
            },
        )
        return events.headers

    def _read_limits(self) -> WaitLimits:
        deadline = self._deadline
        stall_s = STALL_TIMEOUT_S
        if not self._call.route.resumable:
            stall_s = max(0.0, deadline - self._clock.monotonic())
        return WaitLimits(deadline, stall_s, self._check_caller_connected)

    def _check_caller_connected(self) -> None:
        self.runs.check()
        if self._call.disconnected():
            raise _CallerDisconnectedError

    def _record_failure(
        self, target: DiscoveredTarget, error: TargetError
    ) -> None:
        self.runs.failed(self._run, error)
        if error.refused or not error.sent:
            self._may_have_run -= 1
        request_id = self._call.request.request_id
        if self._record_if_crashed(target, error):
            time.sleep(CRASH_RECHECK_S)
            self._record_if_crashed(target, error)
        self._targets.record_error(target, error, request_id, self._answered_at)

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
                    events = self._next_events()
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
                batch = b"".join(event.raw for event in events)
                # The caller may take long to read the batch.
                del events, event
                yield batch
        except _CallerDisconnectedError:
            _log.info(
                "Caller disconnected.",
                extra={"request_id": self._call.request.request_id},
            )
        finally:
            self._close()

    def _next_events(self) -> list[ServerSentEvent]:
        events, self._first_events = self._first_events, []
        return events or self._read()

    def _read(self) -> list[ServerSentEvent]:
        if self._events is None:
            raise TargetError("the stream is not open", sent=False)
        if self._order_error is not None:
            raise self._order_error
        events = self._events.read(self._read_limits())
        self._answered_at = self._clock.monotonic()
        return self._continuing(events)

    def _continuing(
        self, events: list[ServerSentEvent]
    ) -> list[ServerSentEvent]:
        """Returns the events up to one that does not follow the last one.

        Raises:
            TargetError: The first one doesn't.
        """
        if not events:
            return events
        count = event_order.count_continuing(
            [event.number for event in events],
            self._last_number,
            self._is_resumed,
        )
        self._is_resumed = False
        if count < len(events):
            self._order_error = TargetError(
                f"event {events[count].number} does not follow event "
                f"{events[count - 1].number if count else self._last_number}",
                sent=True,
            )
            if not count:
                raise self._order_error
        return events[:count]

    def _resume(self, error: TargetError) -> None:
        """Resumes on another target, or raises the error."""
        self._end_attempt(error)
        if not self._call.route.resumable or not self._last_event_number:
            raise error
        self._call = self._call._replace(
            request=self._call.request._replace(urgency=STARTED_URGENCY)
        )
        try:
            self.start()
        except HibiscusError:
            raise error from None
        _log.info(
            "Stream resumed after a target failed.",
            extra={
                "request_id": self._call.request.request_id,
                "organisation": self._call.organisation,
                "after": self._last_event_number,
                "reason": str(error),
            },
        )

    def _end_attempt(self, error: TargetError) -> None:
        self._last_error = error
        if self._target is not None:
            self._record_failure(self._target, error)
        self._close()

    def _close(self) -> None:
        if self._events is not None:
            self._events.close()
        if self._target is not None:
            self._targets.request_ended(self._target)
        self._target = self._events = None
