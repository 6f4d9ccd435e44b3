"""Structured logs: one JSON object a line, a fixed prefix for each part.

Logs never hold prompt text, generated text, or tokens. Writing never blocks
the thread that logs: lines wait in a bounded queue, and those that find it
full, or that repeat too often, are counted and left out.
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
    "weights": "WEIGHTS",
}

# A request leaves about three lines; 200 requests a second fill this.
LINES_PER_S = 200
# Some seconds of a stalled reader at a usual load.
QUEUE_LINES = 5_000

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each message."""

    def __init__(self, logger: logging.Logger, prefix: str) -> None:
        super().__init__(logger, {})
        self._prefix = prefix

    def process(self, msg: object, kwargs):  # type: ignore[no-untyped-def]
        """Prepends the prefix to one message."""
        return f"{self._prefix}: {msg}", kwargs


def get_logger(part: str) -> logging.LoggerAdapter[logging.Logger]:
    """Returns the logger of one part.

    Args:
        part: A key of `PREFIXES`.
    """
    logger = logging.getLogger(f"hibiscuspin.{part}")
    return _PrefixAdapter(logger, PREFIXES[part])


class _Bounded(logging.Filter):
    """Lets each message through `LINES_PER_S` times a second at most."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()
        self._second = 0
        self._count_by_message: dict[str, int] = {}
        self._omitted_by_message: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts a line; a later one tells how many were left out."""
        message = str(record.msg)
        with self._lock:
            if int(record.created) != self._second:
                self._second = int(record.created)
                self._count_by_message.clear()
            count = self._count_by_message.get(message, 0) + 1
            self._count_by_message[message] = count
            if count > LINES_PER_S:
                omitted = self._omitted_by_message.get(message, 0) + 1
                self._omitted_by_message[message] = omitted
                return False
            omitted = self._omitted_by_message.pop(message, 0)
        if omitted:
            record.omitted = omitted
        return True


class _QueueHandler(logging.handlers.QueueHandler):
    """Puts lines into a bounded queue; those that find it full are lost."""

    lost = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leaves the formatting to the thread that writes."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line, with a count of those lost before it."""
        if self.lost:
            record.lost = self.lost
        try:
            self.queue.put_nowait(record)
            self.lost = 0
        except queue.Full:
            self.lost += 1


def configure(level: str, instance: str, stream: TextIO | None = None) -> None:
    """Sends all logs to a stream as JSON.

    Args:
        level: A level name of the `logging` module.
        instance: This instance's name, part of each line.
        stream: Where lines go; standard error if None.
    """
    writer = logging.StreamHandler(stream or sys.stderr)
    writer.setFormatter(
        JsonFormatter(_FORMAT, static_fields={"instance": instance})
    )
    lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES)
    handler = _QueueHandler(lines)
    handler.addFilter(_Bounded())
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("waitress.queue").setLevel("ERROR")
