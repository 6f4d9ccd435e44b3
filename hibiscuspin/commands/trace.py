"""The command that collects the log lines about one id."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

from hibiscuspin.commands.outcome import CommandError, Outcome

__all__ = ["collect_lines", "trace"]

# Fields that every line has; their values are printed first.
_LEADING_FIELDS = ("asctime", "instance", "message")
# A line with both names a sample and the call that scores it.
_LINKED_FIELDS = ("request_id", "score_id")
_OMITTED_FIELDS = frozenset({*_LEADING_FIELDS, "levelname"})


class _Line(NamedTuple):
    """A log line; the first two fields sort lines by time and input order."""

    timestamp: str
    line_index: int
    fields: dict[str, Any]


def trace(identifier: str, *files: str, json: bool = False) -> Outcome:
    """Prints all log lines about a request, item or job, the earliest first.

    Args:
        identifier: The id, or any other field value.
        *files: Log files; standard input by default.
        json: Whether to print the lines as JSON.
    """
    try:
        lines = _read_lines(files)
    except OSError as error:
        raise CommandError(str(error)) from error
    found = collect_lines(identifier, lines)
    if not found:
        raise CommandError(
            f"no log line has a field with the value {identifier!r}"
        )
    text = "\n".join(_format_line(fields) for fields in found)
    return Outcome(text, found, json)


def _read_lines(files: Iterable[str]) -> list[str]:
    lines: list[str] = []
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            lines += file
    return lines or list(sys.stdin)


def collect_lines(
    identifier: str, lines: Iterable[str]
) -> list[dict[str, Any]]:
    """Returns the fields of all lines that mention an id, by time.

    An item and the call that scores it are followed in both directions.
    Ignores lines without JSON, and text before the JSON of a line, such as
    log collectors add.
    """
    lines = list(lines)
    found = _find_lines({identifier}, lines)
    identifiers = {identifier}.union(
        *(_linked_ids(line.fields, identifier) for line in found)
    )
    if len(identifiers) > 1:
        found = _find_lines(identifiers, lines)
    return [line.fields for line in sorted(found, key=lambda row: row[:2])]


def _find_lines(identifiers: set[str], lines: Sequence[str]) -> list[_Line]:
    found = []
    for line_index, line in enumerate(lines):
        if not any(identifier in line for identifier in identifiers):
            continue
        start = line.find("{")
        try:
            fields = msgspec.json.decode(line[start:]) if start >= 0 else None
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and any(
            _mentions(fields, identifier) for identifier in identifiers
        ):
            timestamp = str(fields.get("asctime", ""))
            found.append(_Line(timestamp, line_index, fields))
    return found


def _linked_ids(fields: dict[str, Any], identifier: str) -> set[str]:
    """Returns the ids of a sample and its reward call if one is given."""
    ids = {str(fields.get(name, "")) for name in _LINKED_FIELDS}
    return ids if identifier in ids and "" not in ids else set()


def _mentions(fields: dict[str, Any], identifier: str) -> bool:
    return any(
        identifier == value or (isinstance(value, list) and identifier in value)
        for value in fields.values()
    )


def _format_line(fields: dict[str, Any]) -> str:
    leading = " ".join(str(fields.get(name, "-")) for name in _LEADING_FIELDS)
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _OMITTED_FIELDS
    )
    return f"{leading} {rest}"
