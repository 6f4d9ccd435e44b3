"""A loopback proxy whose responses share one narrow link."""

import contextlib
import socket
import threading
import time

from hibiscuspin.settings import Address

__all__ = ["NarrowLink"]

SEGMENT_BYTES = 4096
# Small, so that a sender notices at once that the link is full.
BUFFER_BYTES = 16 * 1024


class NarrowLink:
    """Forwards connections to a server at a limited rate of response bytes.

    Attributes:
        address: Where clients connect.
        sent_bytes: How many bytes of responses have been sent.
        is_silent: Whether no more bytes of responses are sent.
    """

    def __init__(self, server: Address, bytes_per_s: float) -> None:
        self._server = server
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self.sent_bytes = 0
        self.is_silent = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            server = socket.create_connection(self._server)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            for pump, source, sink in (
                (self._pass_on, client, server),
                (self._pass_narrowly, server, client),
            ):
                threading.Thread(
                    target=pump, args=(source, sink), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with source, sink, contextlib.suppress(OSError):
            while data := source.recv(SEGMENT_BYTES):
                sink.sendall(data)

    def _pass_narrowly(
        self, source: socket.socket, sink: socket.socket
    ) -> None:
        with source, sink, contextlib.suppress(OSError):
            while data := source.recv(SEGMENT_BYTES):
                if self.is_silent:
                    continue
                # Connections take turns at the lock, as packets at a link.
                with self._lock:
                    time.sleep(len(data) / self._bytes_per_s)
                    self.sent_bytes += len(data)
                sink.sendall(data)
