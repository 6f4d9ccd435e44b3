"""Which connections of clients are closed when a resource runs short.

Load pattern: many clients send large bodies and stop just short of their end,
open connections and send nothing, or leave long responses unread. Each stays
within the limits of one request; together they would take all memory, all
connections or all threads. Those that hold most and have made no progress for
longest give way, so that ordinary requests, which are small and short, are
served. A request that a target may be running is never cut off, unless its
client does not read the response.
"""

import enum
import math
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

__all__ = [
    "Cause",
    "Connection",
    "ConnectionLimits",
    "Phase",
    "choose_closed",
    "may_receive",
]

# Requests up to this size can use memory that larger ones can't take.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 7 / 8
# A buffer that grows is allocated larger than its contents.
GROWTH_FACTOR = 9 / 8
# A sound client empties a full buffer faster than this.
MIN_BACKLOG_S = 1.0


class Phase(enum.IntEnum):
    """What a connection does; those that come first are closed first."""

    REFUSED = 0
    RECEIVING = 1
    SENDING = 2
    IDLE = 3
    WAITING = 4
    RUNNING = 5


class Cause(enum.StrEnum):
    """Why a connection is closed."""

    LATE = "late"
    ABANDONED = "abandoned"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    THREADS = "threads"


class Connection(NamedTuple):
    """One connection.

    Attributes:
        number: Identifies the connection.
        phase: What it does.
        held_bytes: The memory of its requests and unsent responses.
        progressed_at: When bytes were last received or sent.
        receive_by: When its incomplete request is late; infinite without one.
        abandoned_at: When its client is taken to be gone, which neither sends
            a request nor reads a response; infinite while it has to do
            neither.
        backlogged_at: Since when the response's writer has had to wait for
            the client; infinite if it doesn't.
    """

    number: int
    phase: Phase
    held_bytes: int
    progressed_at: float
    receive_by: float = math.inf
    abandoned_at: float = math.inf
    backlogged_at: float = math.inf

    @property
    def is_closable(self) -> bool:
        """Whether closing it cuts off no work whose result is being read."""
        return self.phase is not Phase.RUNNING or self.backlogged_at != math.inf


class ConnectionLimits(NamedTuple):
    """What all connections of a process may take together."""

    memory_bytes: int
    connections: int

    @property
    def large_bytes(self) -> float:
        """The memory that requests above `SMALL_BYTES` may take."""
        return self.memory_bytes * LARGE_SHARE


def may_receive(
    declared_bytes: int, running_bytes: int, limits: ConnectionLimits
) -> bool:
    """Decides whether a body of a declared size is received.

    Args:
        declared_bytes: The size of the body.
        running_bytes: What requests above `SMALL_BYTES` hold that run.
        limits: The limits.
    """
    if declared_bytes <= SMALL_BYTES:
        return True
    needed = declared_bytes * GROWTH_FACTOR + running_bytes
    return needed <= limits.large_bytes


def choose_closed(
    connections: Collection[Connection],
    other_bytes: int,
    waiting: int,
    limits: ConnectionLimits,
    now: float,
) -> dict[int, Cause]:
    """Returns the connections to close, with the reason for each.

    Args:
        connections: All connections of one listener.
        other_bytes: The memory that is held by others.
        waiting: The number of requests for which no thread is free.
        limits: The limits.
        now: The monotonic time.
    """
    closed: dict[int, Cause] = {}
    for row in connections:
        if now >= row.receive_by:
            closed[row.number] = Cause.LATE
        elif now >= row.abandoned_at:
            closed[row.number] = Cause.ABANDONED
    for row in _without_thread(_left(connections, closed), waiting, now):
        closed[row.number] = Cause.THREADS
    for row in _too_many(_left(connections, closed), limits.connections):
        closed[row.number] = Cause.CONNECTIONS
    for row in _too_large(_left(connections, closed), other_bytes, limits):
        closed[row.number] = Cause.MEMORY
    return closed


def _left(
    connections: Iterable[Connection], closed: Collection[int]
) -> list[Connection]:
    return [row for row in connections if row.number not in closed]


def _without_thread(
    connections: Iterable[Connection], waiting: int, now: float
) -> list[Connection]:
    """Returns connections whose threads wait for clients that don't read."""
    blocked = [
        row
        for row in connections
        if row.phase is Phase.RUNNING
        and row.backlogged_at + MIN_BACKLOG_S <= now
    ]
    blocked.sort(key=lambda row: row.backlogged_at)
    return blocked[:waiting]


def _too_many(
    connections: Collection[Connection], most: int
) -> list[Connection]:
    closable = [row for row in connections if row.is_closable]
    closable.sort(key=lambda row: (row.phase > Phase.IDLE, row.progressed_at))
    return closable[: max(0, len(connections) - most)]


def _too_large(
    connections: Collection[Connection],
    other_bytes: int,
    limits: ConnectionLimits,
) -> Iterator[Connection]:
    """Yields connections until the rest fits, largest first.

    Among those of similar size, requests that are complete come last.
    """
    # What was refused before is about to be freed.
    rows = [row for row in connections if row.phase is not Phase.REFUSED]
    total = other_bytes + sum(row.held_bytes for row in rows)
    large = sum(row.held_bytes for row in rows if row.held_bytes > SMALL_BYTES)
    closable = [row for row in rows if row.is_closable]
    closable.sort(
        key=lambda row: (
            -row.held_bytes.bit_length(),
            row.phase,
            row.progressed_at,
        )
    )
    for row in closable:
        is_large = row.held_bytes > SMALL_BYTES
        if total <= limits.memory_bytes and large <= limits.large_bytes:
            return
        if not row.held_bytes:
            return
        total -= row.held_bytes
        large -= row.held_bytes if is_large else 0
        yield row
