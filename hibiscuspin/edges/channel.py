"""Connections from callers, with bounds on what each may hold.

waitress rejects malformed and oversized requests before they reach a route;
they are formatted like all other errors. Each connection reports the memory of
its requests and unsent responses to its listener's `MemoryBudget`. Bodies and
responses are kept in memory: temporary files would count as memory too.
"""

import contextlib
import io
import math
import socket
import threading
from typing import Any

from waitress.buffers import ReadOnlyFileBasedBuffer
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import (
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.connections import Cause, Connection, Phase
from hibiscuspin.edges.wsgi import error_response
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger

__all__ = ["Channel", "MAX_FRAMING_FACTOR"]

RECEIVE_TIMEOUT_S = 30.0
# A body that arrives faster extends the time limit on receiving its request.
MIN_BODY_BYTES_PER_S = 1024
# The memory of a parsed request and of each header field beside their bytes.
REQUEST_BYTES = 2048
FIELD_BYTES = 256
# A chunk of one byte takes six on the wire.
MAX_FRAMING_FACTOR = 8
# A writer waits for the client when this much is unsent.
MAX_UNSENT_BYTES = 256 * 1024
# Larger responses are sent from the response itself, not from a copy.
UNCOPIED_BYTES = 64 * 1024
SEND_PART_BYTES = 64 * 1024
RECEIVE_PART_BYTES = 8 * 1024
# Work per chunk is done on the thread that serves all connections.
SMALL_CHUNKS_PART_BYTES = 1024
SMALL_CHUNK_BYTES = 64
# After a refusal, what the client still sends is read and dropped: closing
# the connection with unread bytes would destroy the response.
LINGER_S = 2.0
LINGER_BYTES = 64 * 1024 * 1024
LINGER_PART_BYTES = 64 * 1024

_log = get_logger("callers")

ERROR_KIND_BY_STATUS = {
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.BODY_TOO_LARGE,
    429: ErrorKind.OVERLOADED,
    431: ErrorKind.HEADERS_TOO_LARGE,
    500: ErrorKind.INTERNAL,
}


class _ReceiveTimeoutError(Error):
    code = 408
    reason = "Request Timeout"


class _OverloadedError(Error):
    code = 429
    reason = "Too Many Requests"


class _JsonErrorTask(ErrorTask):
    """Responds to a rejected request with a JSON error."""

    def execute(self) -> None:
        """Writes the response."""
        task: Any = self
        refusal = task.request.error
        kind = ERROR_KIND_BY_STATUS.get(
            refusal.code, ErrorKind.MALFORMED_REQUEST
        )
        error = HibiscusError(kind, f"{refusal.reason}.")
        response = error_response(error)
        self.status = f"{response.status} {refusal.reason}"
        task.response_headers.append(("Content-Type", response.content_type))
        task.response_headers.extend(response.headers)
        self.set_close_on_finish()
        task.channel.lingers = True
        body = bytes(response.body)  # type: ignore[arg-type]
        self.content_length = len(body)
        self.write(body)


class _Response(ReadOnlyFileBasedBuffer):
    """A complete response that is sent without a copy of it."""

    def __init__(self, body: bytes) -> None:
        super().__init__(io.BytesIO(body))
        self.prepare()


class _Body:
    """The input of a WSGI application, which gives its buffer away."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self._file: Any = request.get_body_stream()

    def read(self, size: int = -1) -> bytes:
        """Reads up to `size` bytes; all that are left if it is negative."""
        if self._file is None:
            return b""
        if self._file.tell() == 0 and not 0 <= size < self._request.body_bytes:
            # Unlike `read`, this makes no copy.
            body: bytes = self._file.getvalue()
            self._request.close()
            self._file = None
            return body
        part: bytes = self._file.read(size)
        return part


class Parser(HTTPRequestParser):
    """A request within the limits of its listener.

    waitress counts the framing of chunks as part of the body, and rejects a
    body of exactly the largest size.
    """

    # waitress logs it; a malformed request would not have any.
    path = ""
    is_admitted = False
    is_released = False
    body_bytes = 0

    def received(self, data: bytes) -> int:
        """Parses received bytes; returns how many belong to this request."""
        had_headers = self.headers_finished
        consumed: int = super().received(data)
        receiver = self.body_rcv
        if receiver is None:
            return consumed
        self.body_bytes = len(receiver)
        if self.error is None:
            self.error = self._exceeded_limit(receiver)
            if self.error is not None:
                self.completed = True
        if not had_headers and self.error is not None:
            # Nothing of the body is kept.
            self.close()
        return consumed

    def _exceeded_limit(self, receiver: Any) -> Error | None:
        adj: Any = self.adj
        most = adj.max_request_body_size // MAX_FRAMING_FACTOR
        if max(self.content_length, self.body_bytes) > most:
            return RequestEntityTooLarge(f"body is larger than {most} bytes")
        if not self.chunked:
            return None
        line = max(len(receiver.control_line), len(receiver.trailer))
        if line > adj.max_request_header_size:
            return RequestHeaderFieldsTooLarge("line within chunks is too long")
        return None

    @property
    def held_bytes(self) -> int:
        """The memory that this request takes."""
        held = REQUEST_BYTES + 2 * len(self.header_plus)
        held += FIELD_BYTES * len(self.headers) + 2 * self.header_bytes_received
        receiver: Any = self.body_rcv
        if receiver is None or self.is_released:
            return held
        if self.chunked:
            held += 2 * (len(receiver.control_line) + len(receiver.trailer))
        return held + self.body_bytes

    @property
    def has_small_chunks(self) -> bool:
        """Whether most of the body so far is framing or in small chunks."""
        framing = self.body_bytes_received - self.body_bytes
        return self.chunked and framing * SMALL_CHUNK_BYTES > self.body_bytes

    def decline(self, error: Error) -> None:
        """Drops the body; the request is answered with an error."""
        if not self.headers_finished:
            self.parse_header(b"GET / HTTP/1.0\r\n")
        self.error = error
        self.completed = True
        self.release()

    def release(self) -> None:
        """Drops the body."""
        self.is_released = True
        self.close()


class RequestTask(WSGITask):
    """A request whose response closes its connection during a drain."""

    def start(self) -> None:
        """Begins the response."""
        super().start()
        server: Any = self.channel.server
        if server.draining.is_set():
            self.set_close_on_finish()

    def get_environment(self) -> dict[str, Any]:
        """Returns the WSGI environment."""
        environ: dict[str, Any] = super().get_environment()
        if not isinstance(environ["wsgi.input"], _Body):
            request: Any = self.request
            environ["wsgi.input"] = _Body(request)
        return environ

    def write(self, data: bytes) -> None:
        """Writes a part of the response."""
        if self.content_length is not None and not self.wrote_header:
            # The response is complete, so the body is not needed again. Its
            # client may send the next one before this method returns.
            request: Any = self.request
            request.release()
            channel: Any = self.channel
            channel.account()
        super().write(data)


class Channel(HTTPChannel):
    """A connection from a caller."""

    task_class = RequestTask
    error_task_class = _JsonErrorTask
    parser_class = Parser
    receive_timeout_s = RECEIVE_TIMEOUT_S
    # Attributes of the base class that its type hints lack.
    requests_lock: threading.Lock
    _flush_exception: Any

    def __init__(
        self, server: Any, sock: socket.socket, *args: Any, **options: Any
    ) -> None:
        self._account_lock = threading.Lock()
        self._held_bytes = 0
        self._unsent_since_empty = 0
        self.receive_deadline = math.inf
        self.progressed_at = monotonic()
        self.backlogged_at = math.inf
        self.serving: Parser | None = None
        self.lingers = False
        self.linger_until = math.inf
        self._linger_bytes = 0
        super().__init__(server, sock, *args, **options)
        self.sendbuf_len = min(self.sendbuf_len, SEND_PART_BYTES)

    # Receiving, on the thread of the listener.

    def readable(self) -> bool:
        """Returns whether to wait for input."""
        return self.is_lingering or bool(super().readable())

    def handle_read(self) -> None:
        """Receives a part of the input."""
        if self.is_lingering:
            self._drop_input()
            return
        request: Any = self.request
        small = request is not None and request.has_small_chunks
        part_bytes = SMALL_CHUNKS_PART_BYTES if small else RECEIVE_PART_BYTES
        try:
            data = self.recv(part_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if data:
            self.progressed_at = monotonic()
            self.received(data)
        else:
            self.connected = False

    def received(self, data: bytes) -> Any:
        """Processes received bytes; rejects the request after its deadline."""
        now = monotonic()
        if self.request is None:
            server: Any = self.server
            timeout_s = getattr(
                server, "receive_timeout_s", self.receive_timeout_s
            )
            self.receive_deadline = now + timeout_s
        elif now >= self.receive_deadline:
            self.refuse(Cause.LATE)
            return False
        before: Any = self.request
        body_before = before.body_bytes if before is not None else 0
        result = super().received(data)
        self._decline_unservable()
        if self.request is None:
            self.receive_deadline = math.inf
        elif self.request is before:
            body_bytes = self.request.body_bytes - body_before
            self.receive_deadline += body_bytes / MIN_BODY_BYTES_PER_S
        self.account()
        guard: Any = self.server.guard  # type: ignore[attr-defined]
        guard.check_memory()
        return result

    def send_continue(self) -> None:
        """Asks the client for the body of its request.

        Unlike the base class's method, it doesn't send, which might close the
        connection from another thread.
        """
        payload = b"HTTP/1.1 100 Continue\r\n\r\n"
        request: Any = self.request
        request.expect_continue = False
        request.completed = False
        with self.outbuf_lock:
            self.outbufs[-1].append(payload)
            self.current_outbuf_count += len(payload)
            self.total_outbufs_len += len(payload)
            self.sent_continue = True
        self.server.pull_trigger()

    def _decline_unservable(self) -> None:
        """Refuses a request whose declared body can't be held."""
        request: Any = self.request
        if request is None or request.is_admitted:
            return
        server: Any = self.server
        if not request.headers_finished:
            return
        request.is_admitted = server.guard.may_receive(request.content_length)
        if not request.is_admitted:
            self.refuse(Cause.MEMORY)

    def _drop_input(self) -> None:
        try:
            data = self.recv(LINGER_PART_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        self._linger_bytes += len(data)
        if not data or self._linger_bytes > LINGER_BYTES:
            self._close_after_turn()

    # Sending.

    def write_soon(self, data: Any) -> int:
        """Queues a part of a response, from the thread of its request."""
        if isinstance(data, bytes) and len(data) > UNCOPIED_BYTES:
            data = _Response(data)
        size = len(data)
        written: int = super().write_soon(data)
        with self._account_lock:
            self._unsent_since_empty += size
        self.account()
        return written

    def _flush_outbufs_below_high_watermark(self) -> None:
        if self.total_outbufs_len > MAX_UNSENT_BYTES:
            self.backlogged_at = min(self.backlogged_at, monotonic())
        super()._flush_outbufs_below_high_watermark()  # type: ignore[misc]

    def _flush_some(self, do_close: bool = True) -> bool:
        sent = bool(super()._flush_some(do_close=do_close))  # type: ignore[misc]
        if sent:
            self.progressed_at = monotonic()
        if self.total_outbufs_len <= MAX_UNSENT_BYTES // 2:
            self.backlogged_at = math.inf
        return sent

    def handle_write(self) -> None:
        """Sends what is queued."""
        if self.socket is None:
            # Reading has closed the connection in the same turn.
            return
        if self.lingers and self.close_when_flushed:
            self._flush_exception(self._flush_some)
            if not self.connected:
                # Flushing has closed the connection.
                return
            if not self.total_outbufs_len and not self.will_close:
                self._begin_lingering()
        if not (self.is_lingering and not self.will_close):
            super().handle_write()
        self.account()

    @property
    def is_lingering(self) -> bool:
        """Whether a refusal was sent and its connection closes soon."""
        return self.linger_until != math.inf

    def _begin_lingering(self) -> None:
        self.close_when_flushed = False
        self.linger_until = monotonic() + LINGER_S
        sock: Any = self.socket
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_after_turn()

    def _close_after_turn(self) -> None:
        """Has the guard close the connection.

        `will_close` alone takes effect only once the client reads again.
        """
        self.will_close = True
        server: Any = self.server
        server.guard.close_after_turn(self)

    # Serving, on a thread of its own.

    def service(self) -> None:
        """Serves the first request."""
        with self.requests_lock:
            if not self.requests:
                return
            request: Any = self.requests[0]
            self.serving = request
        try:
            super().service()
        except Exception:
            _log.exception("Request not served; its connection is closed.")
            self._close_after_turn()
        finally:
            with self.requests_lock:
                # Another thread may serve the next request already.
                if self.serving is request:
                    self.serving = None
                if not self.connected:
                    self._drop_unserved()
            self.account()

    def _drop_unserved(self) -> None:
        """Drops all requests but one that is served."""
        for request in [*self.requests, self.request]:
            if request is not None and request is not self.serving:
                request.close()
        self.request = None
        self.requests = [self.serving] if self.serving is not None else []

    # Bounds.

    def account(self) -> None:
        """Reports the memory that this connection holds."""
        with self._account_lock:
            held = self._count_held()
            delta, self._held_bytes = held - self._held_bytes, held
        if delta:
            server: Any = self.server
            server.memory.change(delta)

    def _count_held(self) -> int:
        requests: list[Any] = [*self.requests, self.request, self.serving]
        held: int = sum(
            request.held_bytes
            for request in {id(r): r for r in requests if r}.values()
        )
        unsent: int = self.total_outbufs_len
        if not unsent:
            self._unsent_since_empty = 0
        # Buffers keep what has been sent until they are empty.
        large = any(isinstance(b, _Response) for b in list(self.outbufs))
        slack = self._unsent_since_empty if large else MAX_UNSENT_BYTES
        return held + min(self._unsent_since_empty, unsent + slack)

    @property
    def held_bytes(self) -> int:
        """The memory that this connection reported last."""
        return self._held_bytes

    def state(self, number: int, idle_timeout_s: float) -> Connection:
        """Returns the state by which connections to close are chosen.

        Args:
            number: Identifies this connection.
            idle_timeout_s: How long a client may neither send nor read.
        """
        phase = self._phase()
        incomplete = self.request is not None and not self.will_close
        abandoned_at = math.inf
        if self.total_outbufs_len or phase in (Phase.IDLE, Phase.RECEIVING):
            abandoned_at = self.progressed_at + idle_timeout_s
        if self.is_lingering:
            abandoned_at = self.linger_until
        return Connection(
            number,
            phase,
            self._held_bytes,
            self.progressed_at,
            self.receive_deadline if incomplete else math.inf,
            abandoned_at,
            self.backlogged_at,
        )

    def _phase(self) -> Phase:
        if self.will_close or self.is_lingering:
            return Phase.REFUSED
        if self.serving is not None:
            return Phase.RUNNING
        if self.requests:
            return Phase.WAITING
        if self.request is not None:
            return Phase.RECEIVING
        return Phase.SENDING if self.total_outbufs_len else Phase.IDLE

    def refuse(self, cause: Cause) -> None:
        """Frees what the connection holds and ends it.

        A request that has not begun to run is answered as not run. Called on
        the thread of the listener.
        """
        guard: Any = self.server.guard  # type: ignore[attr-defined]
        if self._phase() not in (Phase.IDLE, Phase.REFUSED):
            guard.record_refusal(cause)
        error = (
            _ReceiveTimeoutError("")
            if cause is Cause.LATE
            else _OverloadedError("")
        )
        with self.requests_lock:
            serving = self.serving
            unserved: list[Any] = [
                request
                for request in [*self.requests, self.request]
                if request is not None and request is not serving
            ]
            for request in unserved:
                request.decline(error)
            self.request = None
            self.receive_deadline = math.inf
            # A refusal follows the response to a request that is served.
            self.requests = [serving, *unserved[:1]] if serving else []
        is_answerable = unserved and cause is not Cause.ABANDONED
        if self.total_outbufs_len or not (serving or is_answerable):
            self._close_after_turn()
        elif not serving:
            self._send_refusal(unserved[0])
        self.account()

    def _send_refusal(self, request: Any) -> None:
        task = _JsonErrorTask(self, request)
        # What the client has left unread needs no answer.
        with contextlib.suppress(ClientDisconnected):
            task.service()
        self.lingers = True
        self.close_when_flushed = True

    def handle_close(self) -> None:
        """Closes the connection; frees all but a request that runs."""
        with self.requests_lock:
            self._drop_unserved()
        super().handle_close()
        self._unsent_since_empty = 0
        self.account()
