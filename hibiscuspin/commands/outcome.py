"""The result of a command: its output and exit code."""

import json
from typing import Any, NamedTuple

__all__ = [
    "EXIT_DEGRADED",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_USAGE",
    "CommandError",
    "Outcome",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_DEGRADED = 3


class CommandError(Exception):
    """A command failed; the message is shown to the operator."""


class Outcome(NamedTuple):
    """The result of a command.

    Attributes:
        text: The output as text.
        value: The output as data, for JSON.
        as_json: Whether to print `value` as JSON instead of `text`.
        code: The exit code.
    """

    text: str
    value: Any
    as_json: bool = False
    code: int = EXIT_OK

    def printed(self) -> str:
        """Returns the output to print."""
        if not self.as_json:
            return self.text
        return json.dumps(self.value, indent=2, sort_keys=True)
