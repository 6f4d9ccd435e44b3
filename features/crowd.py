"""Clients that send too much, stop short or leave responses unread.

All sockets are served by the calling thread. A client whose connection the
server closes is dropped; sending ends when no client can go on.
"""

import contextlib
import pathlib
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import psutil

from hibiscuspin.settings import Address

__all__ = ["Crowd", "Parts", "ProcessWatch", "Usage", "wait_until"]

# Small, so that unread bytes stay with the server.
RECEIVE_BUFFER_BYTES = 4096
# Sending ends once no client could send anything for this long.
QUIET_S = 15.0
# No further response is awaited once none has begun for this long.
ANSWER_QUIET_S = 5.0
CONNECT_TIMEOUT_S = 2.0
SLOW_READ_BYTES = 512
SLOW_READ_PERIOD_S = 0.2
SAMPLE_PERIOD_S = 0.02
DELETED_SUFFIX = " (deleted)"
ESTABLISHED = "01"

# `struct linger`: enabled, with a time of 0.
_LINGER_NONE = struct.pack("ii", 1, 0)

Parts = Iterator[bytes | memoryview]


class Crowd:
    """Clients with one connection each, which stay open until `close`."""

    def __init__(self, address: Address, count: int) -> None:
        self._sockets = [_connect(address) for _ in range(count)]
        self._reader_stop = threading.Event()
        self._reader: threading.Thread | None = None

    def send(self, parts_of: Callable[[int], Parts]) -> None:
        """Sends each client's parts, one part of each client in turn.

        Args:
            parts_of: Returns the parts that the client of a number sends.
        """
        selector = selectors.DefaultSelector()
        for number, sock in enumerate(self._sockets):
            sock.setblocking(False)
            selector.register(
                sock, selectors.EVENT_WRITE, _Sender(sock, parts_of(number))
            )
        while selector.get_map():
            ready = selector.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                if not key.data.send_some():
                    selector.unregister(key.fileobj)
        selector.close()

    def wait_for_answers(self) -> None:
        """Waits until no further client gets the first byte of a response."""
        waiting = set(self._sockets)
        quiet_at = time.monotonic() + ANSWER_QUIET_S
        while waiting and time.monotonic() < quiet_at:
            answered = {sock for sock in waiting if _has_input(sock)}
            if answered:
                waiting -= answered
                quiet_at = time.monotonic() + ANSWER_QUIET_S
            time.sleep(SAMPLE_PERIOD_S)

    def read_slowly(self) -> None:
        """Lets each client read a few bytes now and then from here on."""
        self._reader = threading.Thread(target=self._keep_reading)
        self._reader.start()

    def _keep_reading(self) -> None:
        while not self._reader_stop.wait(SLOW_READ_PERIOD_S):
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.recv(SLOW_READ_BYTES)

    def reset(self) -> None:
        """Resets all connections."""
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.close()

    def close(self) -> None:
        """Closes all connections; has no effect on closed ones."""
        self._reader_stop.set()
        if self._reader is not None:
            self._reader.join()
        for sock in self._sockets:
            sock.close()


class _Sender:
    """What one client still has to send."""

    def __init__(self, sock: socket.socket, parts: Parts) -> None:
        self._socket = sock
        self._parts = parts
        self._unsent: memoryview = memoryview(b"")

    def send_some(self) -> bool:
        """Sends the next bytes; returns whether more are left."""
        if not self._unsent:
            self._unsent = memoryview(next(self._parts, b""))
        if not self._unsent:
            return False
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._unsent = self._unsent[sent:]
        return True


def _connect(address: Address) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(CONNECT_TIMEOUT_S)
    # A server that accepts no more connections is seen by the bounds.
    with contextlib.suppress(OSError):
        sock.connect(address)
    return sock


def _has_input(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class Usage(NamedTuple):
    """The memory and descriptors of a process."""

    held_bytes: int
    descriptors: int


class ProcessWatch:
    """The largest memory and number of descriptors of a process.

    Memory is what the platform counts: resident memory, temporary files and
    bytes that have arrived but were not read.
    """

    def __init__(self, pid: int, port: int) -> None:
        """Starts the watch.

        Args:
            pid: The process.
            port: The port whose connections' unread bytes count.
        """
        self._process = psutil.Process(pid)
        self._port = port
        self._stop = threading.Event()
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._thread = threading.Thread(target=self._keep_sampling)
        self._thread.start()

    def stop(self) -> None:
        """Ends the watch."""
        self._stop.set()
        self._thread.join()

    def _keep_sampling(self) -> None:
        while not self._stop.wait(SAMPLE_PERIOD_S):
            with contextlib.suppress(psutil.Error, OSError):
                self._sample()

    def current(self) -> Usage:
        """Returns what the process holds now."""
        resident = self._process.memory_info().rss
        held = resident + self._file_bytes() + unread_bytes(self._port)
        return Usage(held, self._process.num_fds())

    def _sample(self) -> None:
        usage = self.current()
        self.peak_bytes = max(self.peak_bytes, usage.held_bytes)
        self.peak_descriptors = max(self.peak_descriptors, usage.descriptors)

    def _file_bytes(self) -> int:
        """Returns the size of open files that have no name any more."""
        size = 0
        for path in pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if str(path.readlink()).endswith(DELETED_SUFFIX):
                    size += path.stat().st_size
        return size


def unread_bytes(port: int) -> int:
    """Returns the bytes that wait unread at a local TCP port."""
    suffix = f":{port:04X}"
    rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    size = 0
    for row in rows:
        fields = row.split()
        if fields[1].endswith(suffix) and fields[3] == ESTABLISHED:
            size += int(fields[4].partition(":")[2], 16)
    return size


def wait_until(
    condition: Callable[[], bool], tries: int, pause_s: float
) -> bool:
    """Checks a condition up to `tries` times; returns whether it held."""
    for _ in range(tries):
        if condition():
            return True
        time.sleep(pause_s)
    return False
