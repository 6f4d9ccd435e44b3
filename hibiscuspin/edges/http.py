"""An HTTP client on `http.client`, with pooled connections and deadlines.

A connection returns to the pool only after its response was read completely.
Connections have a maximum age, and all idle ones can be closed at once.
"""

import contextlib
import functools
import http.client
import io
import re
import select
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, cast

import msgspec

from hibiscuspin.clock import Clock, SystemClock
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.http_response import StrictResponse
from hibiscuspin.memory import Holding, MemoryBudget
from hibiscuspin.settings import Address

__all__ = [
    "HttpResponse",
    "HttpClient",
    "HttpStream",
    "do_nothing",
    "is_draining_refusal",
]

MAX_CONNECTION_AGE_S = 60.0
MAX_IDLE_CONNECTIONS = 16
# A late copy of a response takes the place of one of the next few.
REMEMBERED_CALLS = 16
DRAINING_STATUS = 503
DRAINING_MARKER = b'"draining"'
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_LINE_BYTES = 1024 * 1024
MAX_LINES_PER_READ = 512
READ_BYTES = 64 * 1024
# Lines of a stream beyond this are left to the next read.
MAX_BYTES_PER_READ = 64 * 1024
# What a response, or one read of a stream, holds apart from the memory budget.
UNCOUNTED_BYTES = 64 * 1024
UNCOUNTED_BYTES_PER_READ = 16 * 1024
# Lines are decoded, parsed and encoded again.
COPIES_PER_LINE = 4
CHECK_PERIOD_S = 0.1
# TCP resends a lost SYN only after a second; a new attempt is faster.
CONNECT_TIMEOUT_S = 0.6
# Share of the server's keep-alive timeout for which an idle connection is
# reused: the server's timer starts when it sends a response, the client's
# only once the response has been read.
KEEP_ALIVE_USE_SHARE = 0.8
# TCP keep-alive: two lost probes close a connection to a silent peer.
PROBE_IDLE_S = 1
PROBE_PERIOD_S = 1
PROBE_COUNT = 2
MS_PER_S = 1000
_CHUNK_END = b"\r\n"
# `struct linger`: enabled, with a time of 0.
_LINGER_NONE = struct.pack("ii", 1, 0)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: The status code.
        headers: The headers.
        body: The body.
        carried_call_ids: The ids of the last calls on its connection.
    """

    status: int
    headers: http.client.HTTPMessage
    body: bytes
    carried_call_ids: frozenset[str] = frozenset()

    def json(self) -> object:
        """Decodes the body as JSON."""
        return msgspec.json.decode(self.body)


def is_draining_refusal(status: int, body: bytes) -> bool:
    """Returns whether a target refused a request because it is draining."""
    return status == DRAINING_STATUS and DRAINING_MARKER in body


class _Connection(NamedTuple):
    raw: http.client.HTTPConnection
    retire_at: float
    idle_until: float
    # The ids of its last calls.
    call_ids: deque[str]
    connected_at: float = 0.0


class HttpStream:
    """A response that is read incrementally."""

    def __init__(
        self,
        client: "HttpClient",
        connection: _Connection,
        response: StrictResponse,
    ) -> None:
        self._client = client
        self._connection = connection
        self._response = response
        self._partial_line = b""
        self._holding = Holding(client.memory)
        self.status = response.status
        self.headers = response.headers
        self.connected_at = connection.connected_at

    @property
    def carried_call_ids(self) -> frozenset[str]:
        """The ids of the last calls on its connection, with its own."""
        return frozenset(self._connection.call_ids)

    def read_lines(
        self,
        deadline: float,
        stall_s: float,
        check: Callable[[], None],
        kept_bytes: int = 0,
    ) -> list[bytes]:
        """Waits for a complete line, then reads all that have arrived.

        Args:
            deadline: When to stop waiting even if bytes still arrive.
            stall_s: The longest time without a complete line. Single bytes
                now and then don't extend it.
            check: Called while waiting; may raise an exception to end the
                wait.
            kept_bytes: The size of earlier lines that the caller keeps.

        Returns:
            The lines without their terminators; an empty list at the end of
            the response.

        Raises:
            TargetError: The connection failed, or no line arrived within
                `stall_s` or by the deadline.
        """
        lines: list[bytes] = []
        self._holding.release()
        size = len(self._partial_line) + kept_bytes
        if size > UNCOUNTED_BYTES_PER_READ:
            self._hold(size * COPIES_PER_LINE, deadline, check)
        # A line is to be complete by then, even if its bytes keep coming.
        stalls_at = min(deadline, self._client.monotonic() + stall_s)
        while True:
            if self._client.monotonic() >= stalls_at:
                raise TargetError(
                    "no complete line in time", sent=True, silent=True
                )
            try:
                with self._limited_waits(stalls_at, stall_s, check):
                    data = self._read_available()
                more = self._is_more_available(stall_s)
            except (OSError, http.client.HTTPException) as error:
                raise _target_error(error, sent=True) from error
            if not data:
                if self._response.length:
                    raise TargetError(
                        f"response lacks {self._response.length} bytes",
                        sent=True,
                        disconnected=True,
                    )
                return lines
            size += len(data)
            if size > UNCOUNTED_BYTES_PER_READ:
                self._hold(len(data) * COPIES_PER_LINE, deadline, check)
            *complete, self._partial_line = (self._partial_line + data).split(
                b"\n"
            )
            if len(self._partial_line) > MAX_LINE_BYTES:
                raise TargetError(
                    f"line is longer than {MAX_LINE_BYTES} bytes", sent=True
                )
            lines += complete
            is_full = (
                len(lines) >= MAX_LINES_PER_READ or size >= MAX_BYTES_PER_READ
            )
            if lines and (is_full or not more):
                return lines

    @contextlib.contextmanager
    def _limited_waits(
        self, deadline: float, stall_s: float, check: Callable[[], None]
    ) -> Iterator[None]:
        """Limits the waits for bytes within a block."""
        response, client = self._response, self._client
        sock = self._connection.raw.sock or _socket_of(response)
        if sock is None:
            yield
            return
        response.limit_waits(
            lambda: client.wait_readable(sock, deadline, stall_s, check)
        )
        try:
            yield
        finally:
            response.limit_waits(None)

    def _hold(
        self, size: int, deadline: float, check: Callable[[], None]
    ) -> None:
        """Takes memory for a part of the response.

        Raises:
            TargetError: There is none until the deadline.
        """
        if not self._holding.grow(size, deadline, check):
            raise TargetError(
                f"no memory for {size} bytes of the response", sent=True
            )

    def _read_available(self) -> bytes:
        """Reads available bytes, at most one chunk of a chunked response."""
        response = self._response
        data = response.read1(READ_BYTES)
        if response.length == 0:
            # Unlike `read`, `read1` leaves a response of known length open.
            response.read()
        return data

    @property
    def partial_line(self) -> bytes:
        """The bytes after the last complete line."""
        return self._partial_line

    def _is_more_available(self, stall_s: float) -> bool:
        """Returns whether further bytes of the response have arrived."""
        sock = _socket_of(self._response)
        return sock is not None and _has_buffered(self._response, sock, stall_s)

    def read(self, wait: WaitLimits) -> bytes:
        """Reads the rest of the response.

        Args:
            wait: Limits on waiting. The socket's own timeout would start anew
                with each byte.

        Raises:
            TargetError: The connection failed or stalled, or the response was
                truncated or is too large.
        """
        # Closed on an error: its traceback would keep the bytes.
        with io.BytesIO() as body:
            self._read_into(body, wait)
            return body.getvalue()

    def _read_into(self, body: io.BytesIO, wait: WaitLimits) -> None:
        size = 0
        held = UNCOUNTED_BYTES
        expected = min(self._response.length or 0, MAX_RESPONSE_BYTES)
        try:
            while not self._response.isclosed() and size < MAX_RESPONSE_BYTES:
                if max(size + READ_BYTES, expected) > held:
                    # All at once where the length is known: readers that each
                    # wait for the rest would wait for one another.
                    more = max(READ_BYTES, expected - held)
                    self._hold(more, wait.deadline, wait.check)
                    held += more
                # While bytes keep coming, nothing waits.
                wait.check()
                if self._client.monotonic() >= wait.deadline:
                    raise TargetError(
                        f"deadline passed after {size} bytes", sent=True
                    )
                with self._limited_waits(
                    wait.deadline, wait.stall_s, wait.check
                ):
                    part = self._read_available()
                if not part:
                    break
                body.write(part)
                size += len(part)
        except (OSError, http.client.HTTPException) as error:
            raise _target_error(error, sent=True) from error
        finally:
            self._holding.release()
        # http.client reports a truncated body only to reads without a size.
        if self._response.length or size >= MAX_RESPONSE_BYTES:
            raise TargetError(
                f"response truncated or too large after {size} bytes",
                sent=True,
                disconnected=size < MAX_RESPONSE_BYTES,
            )

    def discard(self) -> None:
        """Closes the connection, whatever was read of the response."""
        self._holding.release()
        self._partial_line = b""
        self._client.discard(self._connection)

    def close(self) -> None:
        """Returns the connection to the pool if the response is complete."""
        self._holding.release()
        self._partial_line = b""
        if self._response.isclosed() and not self._response.surplus:
            self._client.release(self._connection, _keep_alive_s(self.headers))
        else:
            self._client.discard(self._connection)


class HttpClient:
    """An HTTP client for one address; thread-safe."""

    def __init__(
        self,
        address: Address,
        clock: Clock | None = None,
        *,
        keepalive: bool = False,
        unacknowledged_s: float | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Creates the client; it connects with the first call.

        Args:
            address: The address.
            clock: The time source.
            keepalive: Whether to detect an unreachable peer by probes.
            unacknowledged_s: After this time, and on a close, bytes that the
                peer has not acknowledged are dropped and never sent again;
                None for the system's rule, which sends them for minutes.
            memory: What responses that are being read may hold; None for no
                limit but the one on a single response.
        """
        self.memory = memory
        self._address = address
        self._unacknowledged_s = unacknowledged_s
        self._clock = clock or SystemClock()
        self._keepalive = keepalive
        self._lock = threading.Lock()
        self._idle: list[_Connection] = []
        self._in_use: set[http.client.HTTPConnection] = set()
        self._aborted = False

    def request(
        self,
        method: str,
        path: str,
        deadline: float,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        stall_s: float | None = None,
        check: Callable[[], None] | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Sends one request and reads the complete response.

        `stall_s` is the longest time without a byte; None for no limit but the
        deadline. `check` is called while waiting, and may raise an exception to
        end the wait. `before_send` is called when a connection is established,
        and may raise an exception to send nothing.

        Raises:
            TargetError: No complete response arrived by the deadline.
        """
        stream = self.open(
            method,
            path,
            deadline,
            body=body,
            headers=headers,
            stall_s=stall_s,
            check=check,
            before_send=before_send,
        )
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        limit_s = remaining_s if stall_s is None else min(remaining_s, stall_s)
        try:
            data = stream.read(
                WaitLimits(deadline, limit_s, check or do_nothing)
            )
            return HttpResponse(
                stream.status, stream.headers, data, stream.carried_call_ids
            )
        finally:
            stream.close()

    def open(
        self,
        method: str,
        path: str,
        deadline: float,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        stall_s: float | None = None,
        check: Callable[[], None] | None = None,
        fresh: bool = False,
        call_id: str = "",
        before_send: Callable[[], None] | None = None,
    ) -> HttpStream:
        """Sends one request and returns once the response headers arrived.

        Args:
            method: The HTTP method.
            path: The path with its query.
            deadline: When to stop waiting even if bytes still arrive.
            body: The body, or None.
            headers: Additional headers.
            stall_s: The longest time without a byte; None for no limit but
                the deadline.
            check: Called while waiting; may raise an exception to end the
                wait.
            fresh: Whether to use a new connection.
            call_id: The id by which its response is recognised, if any. A
                connection that carried a call with this id is not used: a
                late copy of that call's response would be taken for this
                one's.
            before_send: Called when a connection is established; may raise an
                exception to send nothing.

        Raises:
            TargetError: The request failed; `sent` is False only if no
                connection was established.
        """
        connection = self._acquire(deadline, fresh, call_id)
        with self._lock:
            self._in_use.add(connection.raw)
        # Taken as a duration, the deadline exceeds the remaining time, so it
        # sets no stall limit.
        limit_s = stall_s if stall_s is not None else deadline
        sent = False
        try:
            self.set_timeout(connection, stall_s=limit_s, deadline=deadline)
            if connection.raw.sock is None:
                self._connect(connection, min(limit_s, CONNECT_TIMEOUT_S))
                connection = connection._replace(
                    connected_at=self._clock.monotonic()
                )
            if before_send is not None:
                before_send()
            sent = True
            connection.raw.request(method, path, body, dict(headers or {}))
            raw: Any = connection.raw
            raw.response_class = functools.partial(
                StrictResponse,
                wait=functools.partial(
                    self.wait_readable,
                    connection.raw.sock,
                    min(deadline, self._clock.monotonic() + limit_s),
                    limit_s,
                    check,
                ),
            )
            response = cast(StrictResponse, connection.raw.getresponse())
            # The connection outlives the request, to which `check` refers.
            del raw.response_class
        except (OSError, http.client.HTTPException) as error:
            self.discard(connection)
            raise _target_error(error, sent=sent) from error
        except BaseException:
            self.discard(connection)
            raise
        return HttpStream(self, connection, response)

    def _connect(self, connection: _Connection, timeout_s: float) -> None:
        raw = connection.raw
        previous_s, raw.timeout = (
            raw.timeout,
            min(timeout_s, raw.timeout or 0.0),
        )
        raw.connect()
        raw.timeout = previous_s
        if raw.sock is not None:
            raw.sock.settimeout(previous_s)
            if self._keepalive:
                _enable_keepalive(raw.sock)
            if self._unacknowledged_s is not None:
                _drop_unacknowledged(raw.sock, self._unacknowledged_s)

    def monotonic(self) -> float:
        """Returns the time by which deadlines are given."""
        return self._clock.monotonic()

    def set_timeout(
        self, connection: _Connection, *, stall_s: float, deadline: float
    ) -> None:
        """Sets the socket's timeout to the remaining time, at most `stall_s`.

        Raises:
            TargetError: The deadline has passed.
        """
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            connection.raw.close()
            raise TargetError("deadline passed", sent=True, silent=True)
        timeout = min(remaining_s, stall_s)
        connection.raw.timeout = timeout
        if connection.raw.sock is not None:
            connection.raw.sock.settimeout(timeout)

    def wait_readable(
        self,
        sock: socket.socket,
        deadline: float,
        stall_s: float,
        check: Callable[[], None] | None,
    ) -> None:
        """Waits until a part of a response can be read.

        Raises:
            TargetError: No byte arrived within `stall_s` or by the deadline.
        """
        until = min(deadline, self._clock.monotonic() + stall_s)
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        while True:
            remaining_s = until - self._clock.monotonic()
            if remaining_s <= 0:
                raise TargetError("connection stalled", sent=True, silent=True)
            wait_s = remaining_s
            if check is not None:
                wait_s = min(wait_s, CHECK_PERIOD_S)
            if poll.poll(wait_s * 1000):
                return
            if check is not None:
                check()

    def close_idle(self) -> None:
        """Closes all idle connections, for example after one has stalled."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.raw.close()

    def is_listening(self, deadline: float) -> bool:
        """Returns whether the address accepts a connection.

        Raises:
            TargetError: It neither accepted nor refused one by the deadline.
        """
        timeout_s = max(0.0, deadline - self._clock.monotonic())
        try:
            socket.create_connection(self._address, timeout_s).close()
        except ConnectionRefusedError:
            return False
        except OSError as error:
            raise _target_error(error, sent=False) from error
        return True

    def abort(self) -> None:
        """Aborts all calls in flight and rejects later ones."""
        self.close_idle()
        with self._lock:
            self._aborted = True
            in_use = list(self._in_use)
        for raw in in_use:
            sock = raw.sock
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def discard(self, connection: _Connection) -> None:
        """Closes a connection that can't be reused."""
        with self._lock:
            self._in_use.discard(connection.raw)
        connection.raw.close()

    def release(
        self,
        connection: _Connection,
        keep_alive_s: float = MAX_CONNECTION_AGE_S,
    ) -> None:
        """Returns a connection to the pool unless it is old or the pool full.

        Args:
            connection: A connection whose last response was read completely.
            keep_alive_s: How long the server keeps an idle connection open.
        """
        now = self._clock.monotonic()
        unexpired = connection.retire_at > now
        connection = connection._replace(
            idle_until=now + keep_alive_s * KEEP_ALIVE_USE_SHARE
        )
        with self._lock:
            self._in_use.discard(connection.raw)
            if unexpired and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.raw.close()

    def _acquire(
        self, deadline: float, fresh: bool, call_id: str
    ) -> _Connection:
        now = self._clock.monotonic()
        if deadline <= now or self._aborted:
            raise TargetError("deadline passed or client aborted", sent=False)
        connection = None if fresh else self._take_idle(now, call_id)
        if connection is None:
            connection = self._create_connection(deadline, now)
        if call_id:
            connection.call_ids.append(call_id)
        return connection

    def _take_idle(self, now: float, call_id: str) -> _Connection | None:
        """Takes the last used connection that may carry a call, if any."""
        with self._lock:
            for index in reversed(range(len(self._idle))):
                connection = self._idle[index]
                if call_id and call_id in connection.call_ids:
                    continue
                del self._idle[index]
                retire_at = min(connection.retire_at, connection.idle_until)
                if retire_at > now and _is_reusable(connection.raw):
                    return connection
                connection.raw.close()
        return None

    def _create_connection(self, deadline: float, now: float) -> _Connection:
        raw = http.client.HTTPConnection(
            self._address.host, self._address.port, timeout=deadline - now
        )
        retire_at = now + MAX_CONNECTION_AGE_S
        call_ids: deque[str] = deque(maxlen=REMEMBERED_CALLS)
        return _Connection(raw, retire_at, retire_at, call_ids)


def do_nothing() -> None:
    """The check of a call that nobody abandons."""


def _is_reusable(raw: http.client.HTTPConnection) -> bool:
    """Returns whether an idle connection is open and has no unread bytes."""
    if raw.sock is None:
        return False
    raw.sock.setblocking(False)
    try:
        raw.sock.recv(1)
        return False
    except BlockingIOError:
        return True
    except OSError:
        return False


def _socket_of(response: http.client.HTTPResponse) -> socket.socket | None:
    """Returns the socket of a response that is detached from its connection."""
    raw = getattr(response.fp, "raw", None)
    return getattr(raw, "_sock", None)


def _has_buffered(
    response: http.client.HTTPResponse, sock: socket.socket, stall_s: float
) -> bool:
    """Returns whether a read would return without blocking."""
    if response.fp is None:
        return True
    sock.settimeout(0)
    buffered = response.fp.peek(1)
    sock.settimeout(stall_s)
    if response.chunked and response.chunk_left == 0:
        # The buffer starts with the CRLF that ends the last chunk. A read would
        # consume it and then block unless the next size line is there too.
        return _CHUNK_END in buffered[len(_CHUNK_END) :]
    return bool(buffered)


def _target_error(error: Exception, *, sent: bool) -> TargetError:
    silent = isinstance(error, TimeoutError)
    is_closed = isinstance(error, ConnectionError | http.client.IncompleteRead)
    message = f"{type(error).__name__}: {error}"
    return TargetError(
        message, sent=sent, silent=silent, disconnected=sent and is_closed
    )


def _keep_alive_s(headers: http.client.HTTPMessage) -> float:
    """Returns how long the server keeps an idle connection open."""
    match = _KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
    return float(match[1]) if match else MAX_CONNECTION_AGE_S


def _enable_keepalive(sock: socket.socket) -> None:
    """Enables TCP keep-alive, which detects an unreachable peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)


def _drop_unacknowledged(sock: socket.socket, after_s: float) -> None:
    """Has the kernel drop unacknowledged bytes after a time and on a close."""
    after_ms = int(after_s * MS_PER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, after_ms)
    # A close then resets the connection.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
