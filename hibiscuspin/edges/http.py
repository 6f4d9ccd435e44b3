"""HTTP to the outside by `http.client`: pooled connections with deadlines.

A connection returns to the pool only after its answer was read to the end.
Connections have a greatest age, and a pool can be dropped whole.
"""

import contextlib
import http.client
import re
import select
import socket
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock, SystemClock
from hibiscuspin.edges import TargetError, Wait
from hibiscuspin.edges.http_response import StrictResponse
from hibiscuspin.settings import Address

__all__ = ["HttpAnswer", "HttpClient", "HttpStream", "says_draining"]

MAX_CONNECTION_AGE_S = 60.0
MAX_IDLE_CONNECTIONS = 16
DRAINING_STATUS = 503
DRAINING_MARK = b'"draining"'
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_LINES = 512
READ_BYTES = 64 * 1024
CHECK_PERIOD_S = 0.1
# A lost first packet is sent again after a second; a new try is sooner.
CONNECT_TIMEOUT_S = 0.6
# The other end's clock starts when it sends, this one when it has read.
IDLE_USE_SHARE = 0.8
# Two lost probes end a connection whose other end has gone silent.
PROBE_IDLE_S = 1
PROBE_PERIOD_S = 1
PROBE_COUNT = 2
_CHUNK_END = b"\r\n"
_IDLE_TIMEOUT = re.compile(r"timeout=(\d+)")


class HttpAnswer(NamedTuple):
    """A whole answer."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def json(self) -> object:
        """Decodes the body as JSON."""
        return msgspec.json.decode(self.body)


def says_draining(status: int, body: bytes) -> bool:
    """Tells whether a target refused a request because it is leaving."""
    return status == DRAINING_STATUS and DRAINING_MARK in body


class _Connection(NamedTuple):
    raw: http.client.HTTPConnection
    retire_at: float
    idle_until: float


class HttpStream:
    """An answer that is read line by line."""

    def __init__(
        self,
        client: "HttpClient",
        connection: _Connection,
        response: http.client.HTTPResponse,
    ) -> None:
        self._client = client
        self._connection = connection
        self._response = response
        self._rest = b""
        self.status = response.status
        self.headers = response.headers

    def read_lines(
        self, deadline: float, stall_s: float, check: Callable[[], None]
    ) -> list[bytes]:
        """Reads all whole lines that are there, and waits for the first.

        Args:
            deadline: When to give up in any case.
            stall_s: Longest time without a byte.
            check: Called while waiting; may raise to end the wait.

        Returns:
            The lines without their ends; none at the end of the answer.

        Raises:
            TargetError: No byte came within `stall_s` or by the deadline.
        """
        lines: list[bytes] = []
        while True:
            try:
                self._client.wait(
                    self._connection, self._response, deadline, stall_s, check
                )
                data = self._read_part()
                more = self._more(stall_s)
            except (OSError, http.client.HTTPException) as error:
                raise _failure(error, sent=True) from error
            if not data:
                return lines
            *whole, self._rest = (self._rest + data).split(b"\n")
            lines += whole
            if lines and (not more or len(lines) >= MAX_LINES):
                return lines

    def _read_part(self) -> bytes:
        """Reads what is there; one chunk of a chunked answer at most."""
        response = self._response
        data = response.read1(READ_BYTES)
        if response.length == 0:
            # Unlike `read`, `read1` leaves an answer of known length open.
            response.read()
        return data

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole line."""
        return self._rest

    def _more(self, stall_s: float) -> bool:
        """Tells whether further bytes of the answer have come already."""
        sock = _socket_of(self._response)
        return sock is not None and _has_buffered(self._response, sock, stall_s)

    def read(self, wait: Wait | None = None) -> bytes:
        """Reads the rest of the answer.

        Args:
            wait: How long to wait for each part; the socket's own timeout
                applies if None.

        Raises:
            TargetError: The answer ended early, or is too large.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while not self._response.isclosed() and size < MAX_ANSWER_BYTES:
                if wait is not None:
                    self._client.wait(
                        self._connection,
                        self._response,
                        wait.deadline,
                        wait.stall_s,
                        wait.check,
                    )
                part = self._read_part()
                if not part:
                    break
                parts.append(part)
                size += len(part)
        except (OSError, http.client.HTTPException) as error:
            raise _failure(error, sent=True) from error
        # http.client reports an early end only to reads without a size.
        if self._response.length or size >= MAX_ANSWER_BYTES:
            raise TargetError(f"answer cut after {size} bytes", sent=True)
        return b"".join(parts)

    def close(self) -> None:
        """Returns the connection to the pool if the answer was read whole."""
        surplus = getattr(self._response, "surplus", False)
        if self._response.isclosed() and not surplus:
            self._client.give_back(self._connection, _idle_s(self.headers))
        else:
            self._client.discard(self._connection)


class HttpClient:
    """A client of one address; safe to use from many threads."""

    def __init__(
        self,
        address: Address,
        clock: Clock | None = None,
        *,
        keepalive: bool = False,
    ) -> None:
        self._address = address
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
        check: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        """Sends one request and reads the whole answer.

        `check` is called while the answer is waited for, and may raise.

        Raises:
            TargetError: No whole answer came by the deadline.
        """
        stream = self.open(
            method, path, deadline, body=body, headers=headers, check=check
        )
        wait = Wait(deadline, deadline, check) if check else None
        try:
            data = stream.read(wait)
            return HttpAnswer(stream.status, stream.headers, data)
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
    ) -> HttpStream:
        """Sends one request and returns its answer after the headers.

        Args:
            method: The HTTP method.
            path: The path with its query.
            deadline: When to give up in any case.
            body: The body, or None.
            headers: Further headers.
            stall_s: Longest time without a byte; up to the deadline if None.
            check: Called while waiting; may raise to end the wait.
            fresh: Whether to use a new connection.

        Raises:
            TargetError: `sent` is False only if no connection was made.
        """
        connection = self._take(deadline, fresh)
        with self._lock:
            self._in_use.add(connection.raw)
        bound_s = stall_s if stall_s is not None else deadline
        sent = False
        try:
            self.arm(connection, min_s=bound_s, deadline=deadline)
            if connection.raw.sock is None:
                self._connect(connection, min(bound_s, CONNECT_TIMEOUT_S))
            sent = True
            connection.raw.request(method, path, body, dict(headers or {}))
            if check is not None:
                self._wait_readable(
                    connection.raw.sock, deadline, bound_s, check
                )
            response = connection.raw.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self.discard(connection)
            raise _failure(error, sent=sent) from error
        except BaseException:
            self.discard(connection)
            raise
        return HttpStream(self, connection, response)

    def _connect(self, connection: _Connection, timeout_s: float) -> None:
        raw = connection.raw
        usual_s, raw.timeout = raw.timeout, min(timeout_s, raw.timeout or 0.0)
        raw.connect()
        raw.timeout = usual_s
        if raw.sock is not None:
            raw.sock.settimeout(usual_s)
            if self._keepalive:
                _probe_when_idle(raw.sock)

    def arm(
        self, connection: _Connection, *, min_s: float, deadline: float
    ) -> None:
        """Sets the socket's timeout to the nearer of stall and deadline."""
        left = deadline - self._clock.monotonic()
        if left <= 0:
            connection.raw.close()
            raise TargetError("deadline passed", sent=True, silent=True)
        timeout = min(left, min_s)
        connection.raw.timeout = timeout
        if connection.raw.sock is not None:
            connection.raw.sock.settimeout(timeout)

    def wait(
        self,
        connection: _Connection,
        response: http.client.HTTPResponse,
        deadline: float,
        stall_s: float,
        check: Callable[[], None],
    ) -> None:
        """Waits until a part of an answer can be read.

        Raises:
            TargetError: Nothing came within `stall_s` or by the deadline.
        """
        sock = connection.raw.sock or _socket_of(response)
        if sock is None or _has_buffered(response, sock, stall_s):
            return
        self._wait_readable(sock, deadline, stall_s, check)

    def _wait_readable(
        self,
        sock: socket.socket,
        deadline: float,
        stall_s: float,
        check: Callable[[], None],
    ) -> None:
        until = min(deadline, self._clock.monotonic() + stall_s)
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        while True:
            left = until - self._clock.monotonic()
            if left <= 0:
                raise TargetError("connection stalled", sent=True, silent=True)
            if poll.poll(min(left, CHECK_PERIOD_S) * 1000):
                return
            check()

    def drop(self) -> None:
        """Closes all idle connections, as after a silent one."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.raw.close()

    def abort(self) -> None:
        """Ends all calls in progress and refuses further ones."""
        self.drop()
        with self._lock:
            self._aborted = True
            in_use = list(self._in_use)
        for raw in in_use:
            sock = raw.sock
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def discard(self, connection: _Connection) -> None:
        """Closes a connection that can't be used again."""
        with self._lock:
            self._in_use.discard(connection.raw)
        connection.raw.close()

    def give_back(
        self, connection: _Connection, idle_s: float = MAX_CONNECTION_AGE_S
    ) -> None:
        """Keeps a connection for reuse unless it is old or surplus.

        Args:
            connection: The connection, whose last answer was read whole.
            idle_s: How long the other end keeps it open without a request.
        """
        now = self._clock.monotonic()
        fresh = connection.retire_at > now
        connection = connection._replace(
            idle_until=now + idle_s * IDLE_USE_SHARE
        )
        with self._lock:
            self._in_use.discard(connection.raw)
            if fresh and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.raw.close()

    def _take(self, deadline: float, fresh: bool) -> _Connection:
        now = self._clock.monotonic()
        if deadline <= now or self._aborted:
            raise TargetError("deadline passed", sent=False)
        with self._lock:
            while self._idle and not fresh:
                connection = self._idle.pop()
                retire_at = min(connection.retire_at, connection.idle_until)
                if retire_at > now and _usable(connection.raw):
                    return connection
                connection.raw.close()
        raw = http.client.HTTPConnection(
            self._address.host, self._address.port, timeout=deadline - now
        )
        raw.response_class = StrictResponse
        retire_at = now + MAX_CONNECTION_AGE_S
        return _Connection(raw, retire_at, retire_at)


def _usable(raw: http.client.HTTPConnection) -> bool:
    """Tells whether the other end has not closed an idle connection."""
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
    """Returns the socket of an answer that its connection has let go."""
    raw = getattr(response.fp, "raw", None)
    return getattr(raw, "_sock", None)


def _has_buffered(
    response: http.client.HTTPResponse, sock: socket.socket, stall_s: float
) -> bool:
    """Tells whether a read would return at once."""
    if response.fp is None:
        return True
    sock.settimeout(0)
    buffered = response.fp.peek(1)
    sock.settimeout(stall_s)
    if response.chunked and response.chunk_left == 0:
        # The end of the last chunk alone would have a read block for more.
        return _CHUNK_END in buffered[len(_CHUNK_END) :]
    return bool(buffered)


def _failure(error: Exception, *, sent: bool) -> TargetError:
    silent = isinstance(error, TimeoutError)
    message = f"{type(error).__name__}: {error}"
    return TargetError(message, sent=sent, silent=silent)


def _idle_s(headers: http.client.HTTPMessage) -> float:
    """Returns how long the other end keeps an idle connection open."""
    found = _IDLE_TIMEOUT.search(headers.get("Keep-Alive", ""))
    return float(found[1]) if found else MAX_CONNECTION_AGE_S


def _probe_when_idle(sock: socket.socket) -> None:
    """Lets the kernel end a connection whose other end does not answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
