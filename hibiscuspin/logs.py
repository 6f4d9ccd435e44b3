"""Structured logs: one JSON object per line, one prefix per component.

Logs never contain prompt text, generated text or tokens. Logging never
blocks the calling thread: lines go through a bounded queue. Lines that
arrive while it is full, and messages that repeat too often, are dropped and
counted.
"""

import atexit
import logging
import logging.handlers
import queue
import sys
import threading
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["PREFIXES", "configure", "get_logger"]

PREFIXES = {
    "callers": "CALLER",
    "claims": "CLAIM",
    "config": "CONFIG",
    "daemon": "DAEMON",
    "duties": "DUTY",
    "live": "LIVE",
    "membership": "MEMBER",
    "peers": "PEER",
    "rollouts": "ROLLOUT",
    "spend": "SPEND",
    "store": "STORE",
    "targets": "TARGET",
    "usage": "USAGE",
    "weights": "WEIGHTS",
}

# The limit for each message. A request logs about three lines, so 200
# requests/s reach it.
MAX_LINES_PER_S = 200
# Absorbs a reader that stalls for a few seconds at normal load.
MAX_QUEUED_LINES = 5_000

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    """Prepends the prefix of a component to each message."""

    def __init__(self, logger: logging.Logger, prefix: str) -> None:
        super().__init__(logger, {})
        self._prefix = prefix

    def process(self, msg: object, kwargs):  # type: ignore[no-untyped-def]
        """Returns the message with its prefix, and the keyword arguments."""
        return f"{self._prefix}: {msg}", kwargs


def get_logger(component: str) -> logging.LoggerAdapter[logging.Logger]:
    """Returns the logger of one component.

    Args:
        component: A key of `PREFIXES`.
    """
    logger = logging.getLogger(f"hibiscuspin.{component}")
    return _PrefixAdapter(logger, PREFIXES[component])


class _RateLimitFilter(logging.Filter):
    """Passes each message at most `MAX_LINES_PER_S` times per second."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()
        self._current_second = 0
        self._count_by_message: dict[str, int] = {}
        self._omitted_by_message: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts a line and decides whether it passes.

        The next line that passes with the same message carries the number of
        lines that were omitted.
        """
        message = str(record.msg)
        with self._lock:
            if int(record.created) != self._current_second:
                self._current_second = int(record.created)
                self._count_by_message.clear()
            count = self._count_by_message.get(message, 0) + 1
            self._count_by_message[message] = count
            if count > MAX_LINES_PER_S:
                omitted = self._omitted_by_message.get(message, 0) + 1
                self._omitted_by_message[message] = omitted
                return False
            omitted = self._omitted_by_message.pop(message, 0)
        if omitted:
            record.omitted = omitted
        return True


class _QueueHandler(logging.handlers.QueueHandler):
    """Puts lines into a bounded queue and drops them while it is full."""

    lost = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unformatted; the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line, with the number of lines lost before it."""
        if self.lost:
            record.lost = self.lost
        try:
            self.queue.put_nowait(record)
            self.lost = 0
        except queue.Full:
            self.lost += 1


def configure(level: str, instance: str, stream: TextIO | None = None) -> None:
    """Writes all logs to a stream as JSON.

    Args:
        level: A level name of the `logging` module.
        instance: The name of this instance, which every line includes.
        stream: The output stream; standard error if None.
    """
    writer = logging.StreamHandler(stream or sys.stderr)
    writer.setFormatter(
        JsonFormatter(_FORMAT, static_fields={"instance": instance})
    )
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    handler = _QueueHandler(lines)
    handler.addFilter(_RateLimitFilter())
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("waitress.queue").setLevel("ERROR")
