"""Checks the head of an HTTP response against the grammar of RFC 9112.

A target in trouble may spoil any byte of a head. What remains can look like
another response: without the field that tells the length, a body ends with the
connection, wherever that is.
"""

import http.client
import re
from collections.abc import Mapping, Sequence

__all__ = ["LINE_END", "MAX_LENGTH_DIGITS", "TEXT", "check_field", "check_head"]

MAX_LENGTH_DIGITS = 15
LINE_END = b"\r\n"
# The bytes of a field's value, a reason or a chunk extension.
TEXT = rb"[\t -~\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: " + TEXT + rb")?\r\n")
# The name is a token, so that neither a blank before the colon nor a line that
# continues the previous one matches.
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~\w-]+):(" + TEXT + rb")\r\n", re.ASCII)
_LENGTH = re.compile(rb"\d{1,%d}" % MAX_LENGTH_DIGITS)
_BODILESS_STATUSES = (http.client.NO_CONTENT, http.client.NOT_MODIFIED)


def check_head(lines: Sequence[bytes], method: str) -> None:
    """Checks a head, and that it tells where the body ends.

    Args:
        lines: The status line, the fields and the empty line, with their ends.
        method: The method of the request.

    Raises:
        http.client.HTTPException: The head is not valid.
    """
    first, *fields, last = lines
    match = _STATUS_LINE.fullmatch(first)
    if match is None:
        raise http.client.HTTPException(f"invalid status line: {first[:40]!r}")
    if last != LINE_END:
        raise http.client.HTTPException(f"invalid field: {last[:40]!r}")
    values_by_name: dict[bytes, list[bytes]] = {}
    for line in fields:
        name, value = check_field(line)
        values_by_name.setdefault(name, []).append(value)
    status = int(match[1])
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    _check_lengths(lengths)
    _check_codings(codings, has_length=bool(lengths))
    has_content = bool(codings) or any(int(length) for length in lengths)
    if status == http.client.NO_CONTENT and has_content:
        raise http.client.HTTPException("body of a response without content")
    is_bodiless = method == "HEAD" or status in _BODILESS_STATUSES
    if not (lengths or codings or is_bodiless):
        _check_end(values_by_name)


def check_field(line: bytes) -> tuple[bytes, bytes]:
    """Checks a line of a head or trailer.

    Returns:
        The name in lower case, and the value.

    Raises:
        http.client.HTTPException: The line is no field.
    """
    field = _FIELD.fullmatch(line)
    if field is None:
        raise http.client.HTTPException(f"invalid field: {line[:40]!r}")
    return field[1].lower(), field[2].strip(b" \t")


def _check_lengths(lengths: Sequence[bytes]) -> None:
    if len(set(lengths)) > 1:
        raise http.client.HTTPException(f"different lengths: {lengths[:4]}")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise http.client.HTTPException(f"invalid length: {lengths[0][:40]!r}")


def _check_codings(codings: Sequence[bytes], *, has_length: bool) -> None:
    if not codings:
        return
    if [coding.lower() for coding in codings] != [b"chunked"]:
        raise http.client.HTTPException(
            f"unknown transfer encoding: {codings[0][:40]!r}"
        )
    if has_length:
        raise http.client.HTTPException("both a length and chunks")


def _check_end(values_by_name: Mapping[bytes, Sequence[bytes]]) -> None:
    """Checks that a body without a length may end with its connection.

    A connection that is to be used again shows that the field that tells the
    length was spoilt.
    """
    text = b",".join(values_by_name.get(b"connection", ())).lower()
    options = [option.strip() for option in text.split(b",")]
    stays = b"keep-alive" in values_by_name or b"keep-alive" in options
    if stays and b"close" not in options:
        raise http.client.HTTPException(
            "no length, though the connection is to be used again"
        )
