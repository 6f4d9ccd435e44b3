"""Closes connections of one listener when a resource runs short."""

import collections
from typing import Any

from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.connections import (
    SMALL_BYTES,
    Cause,
    ConnectionLimits,
    choose_closed,
    may_receive,
)
from hibiscuspin.edges.channel import Channel
from hibiscuspin.logs import get_logger
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.metrics import Metrics

__all__ = ["ConnectionGuard"]

LOG_PERIOD_S = 1.0
# Between two checks of the same turn, connections may take this much more.
CHECK_BYTES = 256 * 1024

_log = get_logger("callers")


class ConnectionGuard:
    """Applies the decisions on connections; runs on the listener's thread."""

    def __init__(
        self,
        name: str,
        server: Any,
        memory: MemoryBudget,
        max_connections: int,
        period_s: float,
        metrics: Metrics | None,
    ) -> None:
        """Creates the guard and attaches it to the server.

        Args:
            name: The listener's name.
            server: The waitress server.
            memory: What connections may hold, shared with other listeners.
            max_connections: The maximum number of connections.
            period_s: The time between checks of time limits.
            metrics: Counts the connections that are closed; None for no
                count.
        """
        self._name = name
        self._server = server
        self._memory = memory
        self._limits = ConnectionLimits(memory.limit_bytes, max_connections)
        self._period_s = period_s
        self._metrics = metrics
        self._next_check_at = 0.0
        self._next_log_at = 0.0
        self._check_above_bytes = int(self._limits.large_bytes)
        self._closed: collections.Counter[Cause] = collections.Counter()
        self._to_close: collections.deque[Channel] = collections.deque()
        server.guard = self

    def may_receive(self, declared_bytes: int) -> bool:
        """Returns whether a body of a declared size is received."""
        if declared_bytes <= SMALL_BYTES:
            return True
        running = sum(
            channel.held_bytes
            for channel in self._channels()
            if channel.serving is not None and channel.held_bytes > SMALL_BYTES
        )
        return may_receive(declared_bytes, running, self._limits)

    def check(self) -> None:
        """Closes what must be closed; called after each turn of the loop."""
        now = monotonic()
        self._close_marked()
        is_short = (
            self._memory.used_bytes > self._check_above_bytes
            or len(self._server.active_channels) > self._limits.connections
            or self._server.task_dispatcher.waiting_count
        )
        if is_short or now >= self._next_check_at:
            self._next_check_at = now + self._period_s
            self._close_chosen(now)
            self._close_marked()
        if self._closed and now >= self._next_log_at:
            self._next_log_at = now + LOG_PERIOD_S
            self._log_closed()

    def record_refusal(self, cause: Cause) -> None:
        """Counts a connection that was refused or closed."""
        self._closed[cause] += 1
        if self._metrics is not None:
            counter = self._metrics.closed_connections
            counter.labels(self._name, str(cause)).inc()

    def close_after_turn(self, channel: Channel) -> None:
        """Closes a connection once the turn of the loop is over.

        Within a turn, a new connection could take over its descriptor and the
        events that were meant for it.
        """
        self._to_close.append(channel)

    def _close_marked(self) -> None:
        while self._to_close:
            channel = self._to_close.popleft()
            if channel.socket is not None:
                channel.handle_close()

    def check_memory(self) -> None:
        """Closes what must be closed within a turn of the loop."""
        if self._memory.used_bytes > self._check_above_bytes:
            self._close_chosen(monotonic())

    def _channels(self) -> list[Channel]:
        return list(self._server.active_channels.values())

    def _close_chosen(self, now: float) -> None:
        channels_by_number = dict(enumerate(self._channels()))
        idle_timeout_s = self._server.adj.channel_timeout
        states = [
            channel.state(number, idle_timeout_s)
            for number, channel in channels_by_number.items()
        ]
        held = sum(state.held_bytes for state in states)
        closed = choose_closed(
            states,
            max(0, self._memory.used_bytes - held),
            self._server.task_dispatcher.waiting_count,
            self._limits,
            now,
        )
        for number, cause in closed.items():
            channels_by_number[number].refuse(cause)
        self._check_above_bytes = max(
            int(self._limits.large_bytes),
            self._memory.used_bytes + CHECK_BYTES,
        )

    def _log_closed(self) -> None:
        counts, self._closed = self._closed, collections.Counter()
        _log.warning(
            "Connections closed: clients were late, took too much or read "
            "nothing.",
            extra={
                "listener": self._name,
                "count_by_cause": {str(k): n for k, n in counts.items()},
                "memory_used_bytes": self._memory.used_bytes,
                "memory_limit_bytes": self._memory.limit_bytes,
                "connections": len(self._server.active_channels),
            },
        )
