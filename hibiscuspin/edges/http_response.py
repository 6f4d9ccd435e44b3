"""An HTTP response whose head and framing are read strictly.

`http.client` takes the lines after a header that it can't read for the body,
and a length that it can't read for none. The body then ends with the
connection, so that a spoilt response looks complete. Here each deviation from
the grammar of RFC 9112 is an error.
"""

import http.client
import re
from collections.abc import Callable
from typing import Any

from hibiscuspin.edges.http_head import (
    LINE_END,
    MAX_LENGTH_DIGITS,
    TEXT,
    check_field,
    check_head,
)

__all__ = ["StrictResponse"]

MAX_HEAD_BYTES = 256 * 1024
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 * 1024
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
_CHUNK_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,%d})[\t ]*(?:;" % MAX_LENGTH_DIGITS + TEXT + rb")?\r\n"
)


class _HeaderReader:
    """Reads the status line and headers, and remembers their lines."""

    def __init__(self, raw: Any, wait: Callable[[], None]) -> None:
        self.raw = raw
        self.lines: list[bytes] = []
        self._wait = wait
        self._buffered_bytes = 0
        self._left_bytes = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Reads one line.

        Raises:
            http.client.HTTPException: The headers are too large.
        """
        parts: list[bytes] = []
        while not (parts and parts[-1].endswith(b"\n")):
            part = self._read_part()
            parts.append(part)
            if not part:
                break
        line = b"".join(parts)
        self.lines.append(line)
        return line

    def _read_part(self) -> bytes:
        """Reads what has arrived, at most to the end of the line."""
        if not self._buffered_bytes:
            self._wait()
        available = self.raw.peek(1)
        part = available[: available.find(b"\n") + 1] or available
        self.raw.read(len(part))
        self._buffered_bytes = len(available) - len(part)
        self._left_bytes -= len(part)
        if self._left_bytes < 0:
            raise http.client.HTTPException(
                f"response headers are larger than {MAX_HEAD_BYTES} bytes"
            )
        return bytes(part)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.raw, name)


class StrictResponse(http.client.HTTPResponse):
    """A response with a valid and complete head, framing and body.

    `http.client` accepts the end of the connection as the end of the headers,
    and discards bytes that it has buffered after the response.

    Attributes:
        surplus: Whether bytes arrived after the response. They belong to no
            request, so the connection can't be reused.
    """

    surplus = False

    def __init__(
        self, sock: Any, wait: Callable[[], None], **options: Any
    ) -> None:
        """Creates the response.

        Args:
            sock: The connection's socket.
            wait: Waits until a part of the headers can be read; may raise an
                exception to give up.
            **options: Those of `http.client.HTTPResponse`.
        """
        super().__init__(sock, **options)
        self._wait = wait

    def begin(self) -> None:
        """Reads the status line and headers.

        Raises:
            http.client.RemoteDisconnected: The connection ended within them.
            http.client.HTTPException: They are too large or not valid, or
                those of an interim response, which no request asks for.
        """
        reader = _HeaderReader(self.fp, self._wait)
        self.fp: Any = reader
        super().begin()
        if self.fp is reader:
            self.fp = reader.raw
        # The connection keeps this response, and `wait` refers to its request.
        del self._wait
        if not reader.lines[-1].endswith(b"\n"):
            raise http.client.RemoteDisconnected(
                "connection closed within the response headers"
            )
        method: str = self._method  # type: ignore[attr-defined]
        check_head(reader.lines, method)

    def _read_status(self) -> tuple[str, int, str]:
        # The base class reads on after any number of interim responses.
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if not FIRST_FINAL_STATUS <= status <= LAST_STATUS:
            raise http.client.HTTPException(
                f"status {status} is not that of a final response"
            )
        return version, status, reason

    def _get_chunk_left(self) -> int | None:
        left: int | None = self.chunk_left
        if left:
            return left
        base: Any = super()
        if left is not None and base._safe_read(len(LINE_END)) != LINE_END:
            raise http.client.HTTPException("chunk is longer than its size")
        left = self._read_next_chunk_size()
        if not left:
            self._read_and_discard_trailer()
            self._close_conn()
            left = None
        self.chunk_left = left
        return left

    def _read_and_discard_trailer(self) -> None:
        left_bytes = MAX_TRAILER_BYTES
        while (line := self.fp.readline(left_bytes)) != LINE_END:
            left_bytes -= len(line)
            if left_bytes <= 0:
                raise http.client.HTTPException(
                    f"trailer is larger than {MAX_TRAILER_BYTES} bytes"
                )
            if not line.endswith(b"\n"):
                raise http.client.IncompleteRead(b"")
            check_field(line)

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES + 1)
        match = _CHUNK_SIZE_LINE.fullmatch(line)
        if match is not None:
            return int(match[1], 16)
        self._close_conn()
        if len(line) <= MAX_CHUNK_LINE_BYTES and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(b"")
        raise http.client.HTTPException(f"invalid size of a chunk: {line[:40]}")

    def _close_conn(self) -> None:
        fp = self.fp.raw if isinstance(self.fp, _HeaderReader) else self.fp
        sock = getattr(getattr(fp, "raw", None), "_sock", None)
        if sock is not None:
            sock.settimeout(0)
            try:
                self.surplus = bool(fp.peek(1))
            except OSError:
                # The read that failed earlier reports the error; don't mask it.
                self.surplus = True
        super()._close_conn()  # type: ignore[misc]
