"""An HTTP response that detects truncated headers and surplus bytes."""

import http.client
from typing import Any

__all__ = ["StrictResponse"]

_EMPTY_LINES = (b"\r\n", b"\n")


class _HeaderReader:
    """Reads the status line and headers, and remembers the last line."""

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Reads one line."""
        self.last_line = self.raw.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.raw, name)


class StrictResponse(http.client.HTTPResponse):
    """A response that requires complete headers and detects surplus bytes.

    `http.client` accepts the end of the connection as the end of the headers,
    and discards bytes that it has buffered after the response.

    Attributes:
        surplus: Whether bytes arrived after the response. They belong to no
            request, so the connection can't be reused.
    """

    surplus = False

    def begin(self) -> None:
        """Reads the status line and headers.

        Raises:
            http.client.RemoteDisconnected: The connection ended within them.
        """
        reader = _HeaderReader(self.fp)
        self.fp: Any = reader
        super().begin()
        if self.fp is reader:
            self.fp = reader.raw
        if reader.last_line not in _EMPTY_LINES:
            raise http.client.RemoteDisconnected(
                "connection closed within the response headers"
            )

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
