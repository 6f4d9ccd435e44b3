"""A TCP proxy on loopback that injects faults into connections."""

import contextlib
import select
import socket
import struct
import threading
import time

from bench.fleet import free_address
from hibiscuspin.settings import Address

__all__ = ["MODES", "Proxy"]

MODES = ("pass", "delay", "reset", "silent", "cut_back")
DELAY_S = 0.3
POLL_PERIOD_S = 0.05
READ_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to one address; `mode` selects the fault.

    Attributes:
        address: Address on which the proxy listens.
        mode: One of `MODES`. `delay` delays each chunk by `DELAY_S`, `reset`
            resets connections, `silent` forwards nothing, and `cut_back`
            drops what the server sends and then silences the connection.
    """

    def __init__(self, target: Address) -> None:
        self.address = free_address()
        self.mode = "pass"
        self._target = target
        self._listener = socket.create_server(self.address, backlog=128)
        self._open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener and ends all connections."""
        self._open = False
        self._listener.close()

    def _accept(self) -> None:
        while self._open:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client: socket.socket) -> None:
        with client:
            while self.mode == "silent" and self._open:
                time.sleep(POLL_PERIOD_S)
            if self.mode == "reset":
                _set_reset_on_close(client)
                return
            try:
                server = socket.create_connection(self._target, timeout=5.0)
            except OSError:
                _set_reset_on_close(client)
                return
            with server, contextlib.suppress(OSError):
                self._forward(client, server)

    def _forward(self, client: socket.socket, server: socket.socket) -> None:
        # A silenced connection never recovers, as if a router had lost it.
        dropped = False
        while self._open:
            if self.mode == "reset":
                _set_reset_on_close(client)
                return
            dropped = dropped or self.mode == "silent"
            if dropped:
                time.sleep(POLL_PERIOD_S)
                continue
            ready, _, _ = select.select([client, server], [], [], POLL_PERIOD_S)
            for source in ready:
                data = source.recv(READ_BYTES)
                if not data:
                    return
                if self.mode == "delay":
                    time.sleep(DELAY_S)
                if source is server and self.mode == "cut_back":
                    dropped = True
                    continue
                (server if source is client else client).sendall(data)


def _set_reset_on_close(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
