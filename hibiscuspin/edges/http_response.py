"""Answers of `http.client` that notice a cut head and surplus bytes."""

import http.client
from typing import Any

__all__ = ["StrictResponse"]

_LINE_ENDS = (b"\r\n", b"\n")


class _HeadReader:
    """Reads lines of a head and remembers the last."""

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
    """An answer whose head must end, and that tells of bytes after its end.

    `http.client` takes the end of the connection for the end of the head,
    and drops what it has buffered behind an answer.

    Attributes:
        surplus: Whether bytes came after the answer; they belong to no
            request, so that the connection can't be used again.
    """

    surplus = False

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.RemoteDisconnected: It was cut.
        """
        reader = _HeadReader(self.fp)
        self.fp: Any = reader
        super().begin()
        if self.fp is reader:
            self.fp = reader.raw
        if reader.last_line not in _LINE_ENDS:
            raise http.client.RemoteDisconnected("head of the answer cut")

    def _close_conn(self) -> None:
        fp = self.fp.raw if isinstance(self.fp, _HeadReader) else self.fp
        sock = getattr(getattr(fp, "raw", None), "_sock", None)
        if sock is not None:
            sock.settimeout(0)
            try:
                self.surplus = bool(fp.peek(1))
            except OSError:
                # The read that failed before tells why; this one must not.
                self.surplus = True
        super()._close_conn()  # type: ignore[misc]
