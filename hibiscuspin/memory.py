"""The memory that a process grants to the requests and responses it holds.

One sum covers all connections of all listeners: a bound for each connection
would be none, since clients choose how many they open.
"""

import contextlib
import ctypes
import os
import threading
import time
from collections.abc import Callable, Iterator

from hibiscuspin.clock import monotonic
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = [
    "BYTES_PER_MB",
    "Holding",
    "MemoryBudget",
    "json_bytes",
    "machine_memory_bytes",
    "return_freed_memory",
]

BYTES_PER_MB = 1 << 20
# The rest is for the interpreter, the state of the fleet, and what the
# allocator holds back.
CONNECTION_SHARE = 1 / 3
TOTAL_SHARE = 0.6
WAIT_POLL_S = 0.02
# The largest values beside their text: short strings in an array, and arrays
# and objects of one value.
JSON_ENTRY_BYTES = 64
JSON_CONTAINER_BYTES = 96
# An option of the C library's `mallopt`, and the size from which blocks are
# returned to the system when they are freed. By default this size grows with
# the blocks that are freed, up to 32 MB.
MMAP_THRESHOLD_OPTION = -3
MMAP_THRESHOLD_BYTES = 256 * 1024


def json_bytes(body: bytes) -> int:
    """Returns an upper bound of the memory of a decoded JSON text."""
    marks = sum(body.count(mark) for mark in (b":", b"[", b"{"))
    return (
        len(body)
        + JSON_ENTRY_BYTES * body.count(b",")
        + JSON_CONTAINER_BYTES * marks
    )


def return_freed_memory() -> None:
    """Has the C library return each freed large block to the system."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)


def machine_memory_bytes() -> int:
    """Returns the memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


class MemoryBudget:
    """A thread-safe count of held bytes against limits.

    Connections report what they hold, also beyond the limit; their listener
    then closes some. Other holders take bytes before they hold them, wait for
    them or are refused.

    Attributes:
        limit_bytes: What requests and responses may take.
        total_bytes: What they may take together with the work on single
            requests that costs a multiple of their size.
    """

    def __init__(self, limit_bytes: int, total_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = total_bytes
        self._used_bytes = 0
        self._wanted_bytes = 0
        self._lock = threading.Lock()

    @classmethod
    def from_machine(cls, memory_bytes: int | None = None) -> "MemoryBudget":
        """Creates the budget of the only process on a machine.

        Args:
            memory_bytes: The machine's memory; None to ask the system.
        """
        total = machine_memory_bytes() if memory_bytes is None else memory_bytes
        return cls(int(total * CONNECTION_SHARE), int(total * TOTAL_SHARE))

    @property
    def job_bytes(self) -> int:
        """What the contents of accepted jobs may take beside requests."""
        return self.total_bytes - self.limit_bytes

    @property
    def used_bytes(self) -> int:
        """The bytes held now, and those that somebody waits for."""
        return self._used_bytes + self._wanted_bytes

    def change(self, delta_bytes: int) -> None:
        """Counts bytes that were taken or, if negative, given back."""
        with self._lock:
            self._used_bytes += delta_bytes

    def wait_for(
        self, size_bytes: int, deadline: float, check: Callable[[], None]
    ) -> bool:
        """Takes bytes as soon as they fit; returns whether they did in time.

        Args:
            size_bytes: The number of bytes.
            deadline: The monotonic time until which to wait.
            check: Called while waiting; may raise an exception to end the
                wait.
        """
        if self._take(size_bytes, self.limit_bytes):
            return True
        if size_bytes > self.limit_bytes:
            return False
        with self._wanted(size_bytes):
            while monotonic() < deadline:
                check()
                time.sleep(WAIT_POLL_S)
                if self._take(size_bytes, self.limit_bytes):
                    return True
        return False

    @contextlib.contextmanager
    def reserve(self, size_bytes: int) -> Iterator[None]:
        """Takes bytes for the duration of a block.

        Raises:
            HibiscusError: `OVERLOADED` if they don't fit.
        """
        if not self._take(size_bytes, self.total_bytes):
            raise HibiscusError(
                ErrorKind.OVERLOADED,
                f"The request takes {size_bytes} bytes of memory, which the "
                "instance has not left.",
            )
        try:
            yield
        finally:
            self.change(-size_bytes)

    def _take(self, size_bytes: int, limit_bytes: int) -> bool:
        with self._lock:
            if self._used_bytes + size_bytes > limit_bytes:
                return False
            self._used_bytes += size_bytes
            return True

    @contextlib.contextmanager
    def _wanted(self, size_bytes: int) -> Iterator[None]:
        with self._lock:
            self._wanted_bytes += size_bytes
        try:
            yield
        finally:
            with self._lock:
                self._wanted_bytes -= size_bytes


class Holding:
    """What one reader of a response has taken of a budget."""

    def __init__(self, memory: MemoryBudget | None) -> None:
        self._memory = memory
        self._held_bytes = 0

    def grow(
        self, size_bytes: int, deadline: float, check: Callable[[], None]
    ) -> bool:
        """Takes more bytes, as `MemoryBudget.wait_for` does."""
        memory = self._memory
        if memory is None:
            return True
        if not memory.wait_for(size_bytes, deadline, check):
            return False
        self._held_bytes += size_bytes
        return True

    def release(self) -> None:
        """Gives all bytes back."""
        if self._memory is not None and self._held_bytes:
            self._memory.change(-self._held_bytes)
            self._held_bytes = 0
