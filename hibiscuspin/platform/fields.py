"""Reads fields of what other programs write, within bounds.

A value that passes can be encoded, added and sent in a header wherever it is
used later.
"""

import re
from collections.abc import Mapping
from typing import Any

__all__ = ["MAX_INTEGER", "integer", "name", "shown", "text"]

# The largest integer that every JSON library keeps exact.
MAX_INTEGER = 2**53
MAX_TEXT_CHARS = 200
MAX_SHOWN_CHARS = 40
_NAME = re.compile(r"[!-~]{1,200}")


def integer(
    raw: Mapping[str, Any],
    field: str,
    least: int = 0,
    most: int = MAX_INTEGER,
) -> int:
    """Returns an integer field.

    Raises:
        ValueError: It is missing, of another type or out of range.
    """
    value = raw.get(field)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and least <= value <= most:  # type: ignore[operator]
        return int(value)  # type: ignore[arg-type]
    raise ValueError(
        f"{field}: expected an integer from {least} to {most}, "
        f"found {shown(value)}"
    )


def text(raw: Mapping[str, Any], field: str) -> str:
    """Returns a text field.

    Raises:
        ValueError: It is missing, of another type or too long.
    """
    value = raw.get(field)
    if isinstance(value, str) and len(value) <= MAX_TEXT_CHARS:
        return value
    raise ValueError(
        f"{field}: expected a text of up to {MAX_TEXT_CHARS} characters, "
        f"found {shown(value)}"
    )


def name(value: str, field: str) -> str:
    """Returns a name that can be sent as the value of a header.

    Raises:
        ValueError: It has other characters, or too many or none.
    """
    if _NAME.fullmatch(value):
        return value
    raise ValueError(
        f"{field}: expected visible ASCII characters, found {shown(value)}"
    )


def shown(value: object) -> str:
    """Returns the start of a value for an error message."""
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"an integer of {value.bit_length()} bits"
    if isinstance(value, dict | list):
        return f"a {type(value).__name__} of {len(value)}"
    return repr(value)[:MAX_SHOWN_CHARS]
