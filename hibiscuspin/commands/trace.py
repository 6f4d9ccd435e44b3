"""The command that gathers what logs say of one id."""

import sys
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from hibiscuspin.commands.outcome import CommandError, Outcome

__all__ = ["gather", "trace"]

# Fields that every line has, shown before the others.
_HEAD = ("asctime", "instance", "message")
_HIDDEN = frozenset({*_HEAD, "levelname"})


class _Line(NamedTuple):
    """One log line, in an order that puts the earliest first."""

    at: str
    place: int
    fields: dict[str, Any]


def trace(identifier: str, *files: str, json: bool = False) -> Outcome:
    """Prints all log lines on a request, item or job, the earliest first.

    Args:
        identifier: The id, or any other value of a field.
        *files: Log files; standard input if none is named.
        json: Whether to print the lines as JSON.
    """
    try:
        lines = _read(files)
    except OSError as error:
        raise CommandError(str(error)) from error
    found = gather(identifier, lines)
    if not found:
        raise CommandError(f"no log line has a field {identifier!r}")
    text = "\n".join(_shown(fields) for fields in found)
    return Outcome(text, found, json)


def _read(files: Iterable[str]) -> list[str]:
    lines: list[str] = []
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            lines += file
    return lines or list(sys.stdin)


def gather(identifier: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the fields of all lines that mention an id.

    What stands before the JSON of a line, as log collectors put it there,
    and lines without JSON are passed over.
    """
    found = []
    for place, line in enumerate(lines):
        if identifier not in line:
            continue
        start = line.find("{")
        try:
            fields = msgspec.json.decode(line[start:]) if start >= 0 else None
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and _mentions(fields, identifier):
            at = str(fields.get("asctime", ""))
            found.append(_Line(at, place, fields))
    return [line.fields for line in sorted(found, key=lambda row: row[:2])]


def _mentions(fields: dict[str, Any], identifier: str) -> bool:
    return any(
        identifier == value or (isinstance(value, list) and identifier in value)
        for value in fields.values()
    )


def _shown(fields: dict[str, Any]) -> str:
    head = " ".join(str(fields.get(name, "-")) for name in _HEAD)
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _HIDDEN
    )
    return f"{head} {rest}"
