"""Serves one WSGI interface with waitress, as a supervised task.

A planned stop aborts no request. While the server drains, each response
closes its connection gracefully. On stop, new handshakes are blocked while
accepted connections are served; the server ends once no connection carries a
request or carried one recently, or at the drain's deadline.
"""

import contextlib
import ctypes
import socket
import struct
import sys
import threading
from typing import Any, NamedTuple

from waitress import wasyncore
from waitress.server import create_server

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.channel import (
    MAX_FRAMING_FACTOR,
    MAX_UNSENT_BYTES,
    Channel,
)
from hibiscuspin.edges.dispatcher import GrowingDispatcher
from hibiscuspin.logs import get_logger
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.metrics import Metrics
from hibiscuspin.settings import Address
from hibiscuspin.tasks.connection_guard import ConnectionGuard

__all__ = ["MAX_CONNECTIONS", "HttpServer", "ServerLimits"]

CHANNEL_TIMEOUT_S = 60
CLEANUP_PERIOD_S = 1
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 1000
# What the kernel holds for one connection; by default it grows to megabytes.
SOCKET_BUFFER_BYTES = 64 * 1024
POLL_S = 0.25
DRAIN_POLL_S = 0.02
BACKLOG_DRAIN_S = 0.2
RECENT_ACTIVITY_S = 1.0
DEFAULT_STOP_TIMEOUT_S = 5.0
NEVER_S = 1 << 31

SO_ATTACH_FILTER = 26
# A socket filter in classic BPF that drops SYN segments without ACK.
_DROP_SYN_FILTER = (
    (0x30, 0, 0, 13),  # load the byte of TCP flags
    (0x54, 0, 0, 0x12),  # mask SYN and ACK
    (0x15, 0, 1, 0x02),  # only SYN set?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFF),  # accept
)

_log = get_logger("callers")


class ServerLimits(NamedTuple):
    """Limits on the size of requests and on the inactivity of a client."""

    header_bytes: int
    body_bytes: int
    receive_timeout_s: float
    idle_timeout_s: float


class HttpServer:
    """A listening address with its own bounded thread pool."""

    def __init__(
        self,
        name: str,
        app: Any,
        address: Address,
        threads: int,
        memory: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
        metrics: Metrics | None = None,
    ) -> None:
        """Creates the server; `run` starts it.

        Args:
            name: The server's name.
            app: The WSGI application.
            address: The address to listen on.
            threads: The maximum number of threads that serve requests.
            memory: What connections may hold, shared with other servers; by
                default a share of the machine's memory.
            max_connections: The maximum number of connections.
            metrics: Counts the connections that are closed; None for no
                count.
        """
        self.name = name
        self._memory = memory or MemoryBudget.from_machine()
        self._max_connections = max_connections
        self._metrics = metrics
        self._app = app
        self._address = address
        self._threads = threads
        self._draining = threading.Event()
        self._stop_by = 0.0
        self._limits: ServerLimits | None = None
        self._server: Any = None

    @property
    def busy_threads(self) -> int:
        """Number of threads that are serving a request."""
        return self._server.task_dispatcher.active_count if self._server else 0

    def set_limits(self, limits: ServerLimits) -> None:
        """Applies new limits, also to open connections."""
        self._limits = limits
        if self._server is not None:
            self._apply_limits(self._server)

    def _apply_limits(self, server: Any) -> None:
        limits = self._limits
        if limits is None:
            return
        # waitress rejects a size that equals the limit.
        server.adj.max_request_header_size = limits.header_bytes + 1
        _set_body_limit(server, limits.body_bytes)
        server.adj.channel_timeout = limits.idle_timeout_s
        server.receive_timeout_s = limits.receive_timeout_s

    def drain(self, deadline: float) -> None:
        """Makes each response close its connection; still serves requests.

        Args:
            deadline: Monotonic time at which a stop aborts the requests in
                flight.
        """
        self._stop_by = deadline
        self._draining.set()

    def run(self, stop: threading.Event) -> None:
        """Serves until `stop` is set and the requests in flight have ended."""
        sockets: dict[int, Any] = {}
        server = self._create(sockets)
        guard = ConnectionGuard(
            self.name,
            server,
            self._memory,
            self._max_connections,
            CLEANUP_PERIOD_S,
            self._metrics,
        )
        while not stop.is_set():
            _serve_once(POLL_S, sockets, guard)
        self._draining.set()
        deadline = self._stop_by or monotonic() + DEFAULT_STOP_TIMEOUT_S
        self._close_listener(server, sockets, guard)
        while monotonic() < deadline and _has_active_connection(server):
            _serve_once(DRAIN_POLL_S, sockets, guard)
        if _has_active_connection(server):
            _log.warning(
                "Requests aborted at the stop deadline.",
                extra={"part": self.name},
            )
        server.task_dispatcher.shutdown()
        wasyncore.close_all(sockets, ignore_all=True)

    def _create(self, sockets: dict[int, Any]) -> Any:
        server: Any = create_server(
            self._app,
            map=sockets,
            host=self._address.host,
            port=self._address.port,
            _dispatcher=GrowingDispatcher(self._threads),
            channel_timeout=CHANNEL_TIMEOUT_S,
            # The guard closes idle and surplus connections.
            cleanup_interval=NEVER_S,
            connection_limit=sys.maxsize,
            channel_request_lookahead=1,
            max_request_header_size=MAX_HEADER_BYTES,
            inbuf_overflow=sys.maxsize,
            outbuf_overflow=sys.maxsize,
            outbuf_high_watermark=MAX_UNSENT_BYTES,
            clear_untrusted_proxy_headers=True,
            ident="hibiscuspin",
        )
        # Accepted sockets take it over.
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            server.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        server.channel_class = Channel
        server.draining = self._draining
        server.memory = self._memory
        _set_body_limit(server, MAX_BODY_BYTES)
        self._apply_limits(server)
        self._server = server
        return server

    def _close_listener(
        self, server: Any, sockets: dict[int, Any], guard: ConnectionGuard
    ) -> None:
        """Closes the listener without resetting connections in its backlog."""
        _block_handshakes(server.socket)
        deadline = monotonic() + BACKLOG_DRAIN_S
        while monotonic() < deadline:
            _serve_once(DRAIN_POLL_S, sockets, guard)
        server.accepting = False
        server.del_channel(sockets)
        server.socket.close()


def _set_body_limit(server: Any, body_bytes: int) -> None:
    """Sets the largest body; its framing may take several times as much."""
    server.adj.max_request_body_size = body_bytes * MAX_FRAMING_FACTOR


def _serve_once(
    timeout_s: float, sockets: dict[int, Any], guard: ConnectionGuard
) -> None:
    """Serves the sockets that are ready, then closes what must be closed.

    A failure ends no other connection.
    """
    try:
        wasyncore.loop(timeout_s, use_poll=True, map=sockets, count=1)
        guard.check()
    except Exception:
        _log.exception("A turn of the server's loop failed.")


def _block_handshakes(listener: socket.socket) -> None:
    """Drops new SYN segments, so that the accept queue can be emptied.

    The clients retransmit them and then find the port closed, which shows
    them that no request was sent.
    """
    code = b"".join(struct.pack("HBBI", *row) for row in _DROP_SYN_FILTER)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(_DROP_SYN_FILTER), ctypes.addressof(buffer))
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _has_active_connection(server: Any) -> bool:
    """Returns whether a connection carries a request or did so recently."""
    recent = monotonic() - RECENT_ACTIVITY_S
    return any(
        channel.requests
        or channel.request is not None
        or channel.total_outbufs_len
        or channel.progressed_at > recent
        or _has_input(channel)
        for channel in list(server.active_channels.values())
    )


def _has_input(channel: Any) -> bool:
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return bool(channel.socket.recv(1, flags))
    except OSError:
        return False
