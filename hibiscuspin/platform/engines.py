"""Calls targets, in the platform's words."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    LimitListener,
    OrderOutcome,
    ProxiedRequest,
    ProxiedResponse,
    ServerSentEvent,
    TargetRecord,
    TargetState,
    WeightOrder,
)
from hibiscuspin.edges.http import (
    HttpClient,
    HttpResponse,
    HttpStream,
    do_nothing,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.platform import fields, words
from hibiscuspin.platform.identity import without_identity
from hibiscuspin.platform.registrations import parse_versions

__all__ = [
    "EngineClient",
    "EngineEventStream",
]

MS_PER_S = 1000
MISDIRECTED_STATUS = 421
ACCEPTED_STATUS = 202
OK_STATUS = 200
EVENT_STREAM_TYPE = "text/event-stream"
COMMENT_START = b":"
MAX_LOGGED_CHARS = 40
# What an incomplete event may hold until its last line arrives.
MAX_EVENT_BYTES = 256 * 1024
LINE_OVERHEAD_BYTES = 64
# Numbers of events and of versions; longer ones can't be encoded later.
MAX_NUMBER_DIGITS = 15
# Hop-by-hop headers and Content-Length, in lower case; they are not forwarded.
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


_log = get_logger("targets")


class EngineClient:
    """A `TargetClient` over HTTP."""

    def __init__(
        self,
        record: TargetRecord,
        clock: Clock,
        on_draining: Callable[[], None] = lambda: None,
        on_limit: LimitListener = lambda rate_per_s, sent_at: None,
        has_organisations: Callable[[], bool] = lambda: False,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Creates the client.

        Args:
            record: The target's registration.
            clock: The time source.
            on_draining: Called for each response that says that the target
                is draining.
            on_limit: Called for each response with the request limit that it
                names.
            has_organisations: Returns whether the configuration in force has
                organisations.
            memory: What responses that are being read may hold; None for no
                limit.
        """
        self._name = record.name
        self._clock = clock
        self._on_draining = on_draining
        self._on_limit = on_limit
        self._has_organisations = has_organisations
        self._client = HttpClient(record.address, clock, memory=memory)

    def send(
        self,
        request: ProxiedRequest,
        deadline: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> ProxiedResponse:
        """Sends one request and returns the complete response."""
        stream = self._send_request(
            request, {}, deadline, deadline, check, fresh=fresh
        )
        try:
            body = stream.read(WaitLimits(deadline, deadline, check))
            self._check_response(stream)
        finally:
            stream.close()
        return ProxiedResponse(
            stream.status,
            _forwarded_headers(stream),
            body,
            stream.headers.get(words.TARGET_STAMP_HEADER, ""),
        )

    def open_stream(
        self,
        request: ProxiedRequest,
        after: int,
        wait: WaitLimits,
        *,
        fresh: bool = False,
    ) -> "EngineEventStream":
        """Starts a generation, or resumes it after an event."""
        extra_headers = (
            {words.LAST_EVENT_ID_HEADER: str(after)} if after else {}
        )
        stream = self._send_request(
            request,
            extra_headers,
            wait.deadline,
            wait.stall_s,
            wait.check,
            fresh=fresh,
        )
        try:
            if stream.status != OK_STATUS:
                stream.read(wait)
                self._check_response(stream)
                raise TargetError(
                    f"target responded with status {stream.status}",
                    sent=True,
                    status=stream.status,
                )
            self._check_response(stream)
            content_type = stream.headers.get("Content-Type", "")
            if not content_type.startswith(EVENT_STREAM_TYPE):
                raise TargetError(
                    f"response of type {content_type[:MAX_LOGGED_CHARS]!r}, "
                    f"{EVENT_STREAM_TYPE} expected",
                    sent=True,
                )
            return EngineEventStream(stream, self._clock)
        except BaseException:
            stream.close()
            raise

    def _send_request(
        self,
        request: ProxiedRequest,
        extra_headers: Mapping[str, str],
        deadline: float,
        stall_s: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> HttpStream:
        remaining_s = deadline - self._clock.monotonic()
        if request.urgency is not None:
            extra_headers = {
                **extra_headers,
                words.URGENCY_HEADER: str(request.urgency),
            }
        headers = {
            **self._caller_headers(request),
            **extra_headers,
            **self._address_headers(request),
            words.REQUEST_ID_HEADER: request.request_id,
            words.DEADLINE_MS_HEADER: str(max(1, int(remaining_s * MS_PER_S))),
        }
        sent_at = self._clock.monotonic()
        stream = self._client.open(
            request.method,
            request.target,
            deadline,
            body=request.body or None,
            headers=headers,
            stall_s=stall_s,
            check=check,
            fresh=fresh,
            call_id=request.request_id,
        )
        self._check_identity(request, stream)
        self._check_draining(stream)
        self._check_limit(stream, sent_at, may_end=True)
        return stream

    def _check_identity(
        self, request: ProxiedRequest, stream: HttpStream
    ) -> None:
        """Checks that a response belongs to this request.

        An engine may send a second copy of an earlier response, for example of
        a refusal. Nothing in such a copy applies to this request, which may
        run, and its own response may follow on the connection.

        Raises:
            TargetError: The response has another request's id, or none.
        """
        echoed = stream.headers.get(words.REQUEST_ID_HEADER)
        if echoed == request.request_id:
            return
        stream.discard()
        raise self._foreign_response(stream, request.request_id)

    def _check_unidentified(self, response: HttpResponse) -> None:
        """Reads what a response to a report or an order says of its target.

        Reports and orders have no id, so a response with that of a call that
        the connection has carried is a late copy.

        Raises:
            TargetError: The response has such an id.
        """
        found = response.headers.get(words.REQUEST_ID_HEADER)
        if found in response.carried_call_ids:
            raise self._foreign_response(response, "")
        self._check_draining(response)
        self._check_limit(response, 0.0, may_end=False)

    def _foreign_response(
        self, response: HttpStream | HttpResponse, request_id: str
    ) -> TargetError:
        """Closes the idle connections; returns the error of the call.

        The response to the call may follow on its connection.
        """
        self._client.close_idle()
        found = response.headers.get(words.REQUEST_ID_HEADER) or ""
        _log.warning(
            "Response to another request.",
            extra={
                "target": self._name,
                "request_id": request_id,
                "found": found[:MAX_LOGGED_CHARS],
                "status": response.status,
            },
        )
        return TargetError("response to another request", sent=True)

    def _caller_headers(self, request: ProxiedRequest) -> Mapping[str, str]:
        """Returns the caller's headers that may leave this instance.

        Items of jobs that were submitted before there were organisations
        still have all of them.
        """
        if request.organisation or self._has_organisations():
            return without_identity(request.headers)
        return request.headers

    def _address_headers(self, request: ProxiedRequest) -> dict[str, str]:
        """Returns the headers that say who is to serve whose request."""
        headers = {words.EXPECTED_TARGET_HEADER: self._name}
        if request.organisation:
            headers[words.TENANT_HEADER] = request.organisation
        return headers

    def _check_draining(self, response: HttpStream | HttpResponse) -> None:
        # A misdirected response is about another target.
        if response.status == MISDIRECTED_STATUS:
            return
        value = response.headers.get(words.LEAVING_HEADER, "")
        if value.strip() == words.LEAVING_VALUE:
            self._on_draining()

    def _check_limit(
        self,
        response: HttpStream | HttpResponse,
        sent_at: float,
        *,
        may_end: bool,
    ) -> None:
        """Reports the request limit that a response names.

        Args:
            response: The response.
            sent_at: When its request was sent, in monotonic time.
            may_end: Whether a response without a limit says that there is
                none; a garbled one does not.
        """
        if response.status == MISDIRECTED_STATUS:
            return
        text = response.headers.get(words.LIMIT_HEADER)
        rate_per_s = _parse_rate(text) if text is not None else None
        if rate_per_s is not None or (text is None and may_end):
            self._on_limit(rate_per_s, sent_at)

    def _check_response(self, stream: HttpStream) -> None:
        """Checks that the target ran the request, and what it returned.

        Raises:
            TargetError: The response is a refusal, belongs to another target,
                lacks the target's stamp, or has a Content-Encoding.
        """
        status = stream.status
        if status == MISDIRECTED_STATUS:
            raise TargetError(
                "the address now belongs to another target",
                sent=True,
                refused=True,
                draining=True,
                status=status,
            )
        if words.NOT_EXECUTED_HEADER in stream.headers:
            raise TargetError(
                f"target refused with status {status}",
                sent=True,
                refused=True,
                status=status,
            )
        if words.TARGET_STAMP_HEADER not in stream.headers:
            raise TargetError(
                f"response lacks {words.TARGET_STAMP_HEADER}, status {status}",
                sent=True,
            )
        if stream.headers.get("Content-Encoding"):
            raise TargetError(
                "response with an unrequested Content-Encoding", sent=True
            )

    def fetch_state(self, deadline: float) -> TargetState:
        """Queries the engine's state."""
        response = self._client.request(
            "GET",
            "/hibiscuspin/report",
            deadline,
            headers={words.EXPECTED_TARGET_HEADER: self._name},
            check=do_nothing,
        )
        self._check_unidentified(response)
        raw = _decode_body(response)
        try:
            return TargetState(
                parse_versions(raw),
                bool(raw["busy"]),
                fields.integer(raw, "seq_no"),
                fields.integer(raw, "running") + fields.integer(raw, "waiting"),
                fields.integer(raw, "born") if "born" in raw else 0,
            )
        except words.DECODE_ERRORS as error:
            raise TargetError(
                f"malformed state report: {error!r}", sent=True
            ) from error

    def send_order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Sends an order."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            # With `retain`, generations in flight continue with the new weights
            # and retain their events.
            "mode": "blocking" if order.finish_first else "retain",
            "holder": order.holder,
            "fence_token": order.fencing,
            # The engine rejects the order if it has accepted another number
            # of orders so far.
            "expected": order.expected_orders,
        }
        response = self._client.request(
            "POST",
            "/hibiscuspin/order",
            deadline,
            body=msgspec.json.encode(body),
            headers={
                words.EXPECTED_TARGET_HEADER: self._name,
                "Content-Type": words.JSON_CONTENT_TYPE,
            },
            check=do_nothing,
        )
        self._check_unidentified(response)
        detail = (
            f"{response.status} {response.body[:120].decode(errors='replace')}"
        )
        return OrderOutcome(
            response.status == ACCEPTED_STATUS,
            response.status == OK_STATUS,
            detail,
        )

    def is_listening(self, deadline: float) -> bool:
        """Returns whether the target's address accepts a connection."""
        return self._client.is_listening(deadline)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close_idle()


class EngineEventStream:
    """An `EventStream` that parses server-sent events."""

    def __init__(self, stream: HttpStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        # Those of an incomplete event.
        self._lines: list[bytes] = []
        self._lines_bytes = 0
        version = stream.headers.get(words.VERSION_HEADER) or "0"
        self._version = _parse_number(version)
        self.headers = _forwarded_headers(stream)
        self.connected_at = stream.connected_at

    def read(self, wait: WaitLimits) -> list[ServerSentEvent]:
        """Waits for events; returns an empty list at the end of the stream."""
        events: list[ServerSentEvent] = []
        # Lines that complete no event don't extend the wait.
        stalls_at = min(wait.deadline, self._clock.monotonic() + wait.stall_s)
        while not events:
            lines = self._stream.read_lines(
                stalls_at, wait.stall_s, wait.check, self._lines_bytes
            )
            if not lines:
                if self._lines or self._stream.partial_line:
                    raise TargetError(
                        "stream ended within an event",
                        sent=True,
                        disconnected=True,
                    )
                return []
            for line in lines:
                self._append_line(line)
                if not line.strip():
                    events += self._parse_event()
        return events

    def _append_line(self, line: bytes) -> None:
        self._lines.append(line)
        self._lines_bytes += len(line) + LINE_OVERHEAD_BYTES
        if self._lines_bytes > MAX_EVENT_BYTES:
            raise TargetError(
                f"event is larger than {MAX_EVENT_BYTES} bytes", sent=True
            )

    def _parse_event(self) -> list[ServerSentEvent]:
        lines, self._lines, self._lines_bytes = self._lines, [], 0
        number: int | None = None
        data: list[str] = []
        for line in lines:
            name, _, value = _decode_line(line).partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id":
                number = _parse_number(value)
            elif name == words.VERSION_HEADER.lower():
                self._version = _parse_number(value)
        if number is None:
            if all(line.startswith(COMMENT_START) for line in lines[:-1]):
                return []
            raise TargetError("event without an id", sent=True)
        raw = b"\n".join(lines) + b"\n"
        return [ServerSentEvent(raw, number, "\n".join(data), self._version)]

    def close(self) -> None:
        """Cancels the generation unless it has finished."""
        self._lines.clear()
        self._stream.close()


def _decode_line(line: bytes) -> str:
    try:
        return line.rstrip(b"\r").decode()
    except UnicodeDecodeError as error:
        raise TargetError(f"line is not UTF-8: {error}", sent=True) from error


def _parse_rate(text: str) -> float | None:
    """Parses a request limit; returns None for an invalid one."""
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if math.isfinite(rate_per_s) and rate_per_s >= 0:
        return rate_per_s
    _log.warning(
        "Ignoring an invalid request limit.",
        extra={"value": text[:MAX_LOGGED_CHARS]},
    )
    return None


def _parse_number(text: str) -> int:
    if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
        return int(text)
    raise TargetError(f"expected a number, found {text[:40]!r}", sent=True)


def _forwarded_headers(stream: HttpStream) -> Sequence[tuple[str, str]]:
    return [
        (name, value)
        for name, value in stream.headers.items()
        if name.lower() not in NOT_FORWARDED_HEADERS
    ]


def _decode_body(response: HttpResponse) -> Any:
    if response.status != OK_STATUS:
        raise TargetError(
            f"target responded with status {response.status}",
            sent=True,
            draining=response.status == MISDIRECTED_STATUS,
            status=response.status,
        )
    try:
        return msgspec.json.decode(response.body)
    except msgspec.DecodeError as error:
        raise TargetError(f"malformed JSON body: {error}", sent=True) from error
