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


class _Reader:
    """Reads a response's bytes; waits for them with a limit.

    The timeout of the socket would start anew with each byte.

    Attributes:
        wait: Waits until bytes have arrived; may raise an exception to give
            up. None for the timeout of the socket.
        head_lines: The lines of the head; None once it has ended.
    """

    def __init__(self, buffered: Any, wait: Callable[[], None]) -> None:
        self.wait: Callable[[], None] | None = wait
        self.head_lines: list[bytes] | None = []
        self._buffered = buffered
        self._available_bytes = 0
        self._left_head_bytes = MAX_HEAD_BYTES

    def peek(self, size: int) -> bytes:
        """Returns bytes without taking them; reads some if there are none."""
        available: bytes = self._buffered.peek(size)
        self._available_bytes = len(available)
        return available

    def read1(self, size: int) -> bytes:
        """Reads what has arrived; waits for the first byte."""
        if not size:
            return b""
        self._wait_unless_available()
        data: bytes = self._buffered.read1(size)
        self._available_bytes = max(0, self._available_bytes - len(data))
        return data

    def read(self, size: int) -> bytes:
        """Reads a number of bytes, fewer at the end of the connection."""
        parts: list[bytes] = []
        while size > 0 and (part := self.read1(size)):
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    def readline(self, limit: int) -> bytes:
        """Reads a line, or its beginning if it is longer than the limit.

        Raises:
            http.client.HTTPException: The head is too large.
        """
        parts: list[bytes] = []
        while limit > 0 and not (parts and parts[-1].endswith(b"\n")):
            part = self._read_line_part(limit)
            if not part:
                break
            parts.append(part)
            limit -= len(part)
        line = b"".join(parts)
        if self.head_lines is not None:
            self.head_lines.append(line)
        return line

    def _read_line_part(self, limit: int) -> bytes:
        """Reads what has arrived, at most to the end of the line."""
        self._wait_unless_available()
        available = self.peek(1)[:limit]
        size = available.find(b"\n") + 1 or len(available)
        if self.head_lines is not None:
            self._left_head_bytes -= size
            if self._left_head_bytes < 0:
                raise http.client.HTTPException(
                    f"response headers are larger than {MAX_HEAD_BYTES} bytes"
                )
        return self.read1(size) if size else b""

    def _wait_unless_available(self) -> None:
        if not self._available_bytes and self.wait is not None:
            self.wait()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._buffered, name)


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
            wait: How to wait for the headers, as for `limit_waits`.
            **options: Those of `http.client.HTTPResponse`.
        """
        super().__init__(sock, **options)
        self._reader = _Reader(self.fp, wait)

    def begin(self) -> None:
        """Reads the status line and headers.

        Raises:
            http.client.RemoteDisconnected: The connection ended within them.
            http.client.HTTPException: They are too large or not valid, or
                those of an interim response, which no request asks for.
        """
        self.fp: Any = self._reader
        super().begin()
        lines = self._reader.head_lines or [b""]
        self._reader.head_lines = None
        self.limit_waits(None)
        if not lines[-1].endswith(b"\n"):
            raise http.client.RemoteDisconnected(
                "connection closed within the response headers"
            )
        method: str = self._method  # type: ignore[attr-defined]
        check_head(lines, method)

    def limit_waits(self, wait: Callable[[], None] | None) -> None:
        """Sets how reads wait for bytes that have not arrived.

        Args:
            wait: Waits until bytes have arrived; may raise an exception to
                give up. None for the timeout of the socket. It is not to be
                kept: the connection keeps this response, and `wait` refers to
                its request.
        """
        self._reader.wait = wait

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
        fp = self.fp
        sock = getattr(getattr(fp, "raw", None), "_sock", None)
        if sock is not None:
            sock.settimeout(0)
            try:
                self.surplus = bool(fp.peek(1))
            except OSError:
                # The read that failed earlier reports the error; don't mask it.
                self.surplus = True
        super()._close_conn()  # type: ignore[misc]
