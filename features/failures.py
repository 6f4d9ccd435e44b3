"""Describes failed scenarios: the failing step, its error, and process logs."""

import reprlib
import traceback
from collections.abc import Iterable, Iterator
from typing import Any

from bench.fleet import Fleet
from standins.platform_fleet import PlatformFleet

__all__ = ["describe_failures", "keep_log_tails"]

MAX_ERROR_CHARS = 6000
# Kept per process. A daemon under test logs some 200 characters a line.
LOG_TAIL_CHARS = 4000
MAX_LOCAL_CHARS = 500
# Attributes of behave's context under which features keep their processes.
FLEET_ATTRIBUTES = ("fleet", "pair", "platform")


def describe_failures(features: Iterable[Any]) -> Iterator[str]:
    """Yields a text for each feature hook and scenario that failed."""
    for feature in features:
        if feature.error_message:
            yield _describe(feature, f"Feature: {feature.name}", [])
        for scenario in feature.walk_scenarios():
            if scenario.status.has_failed():
                steps = [s for s in scenario.all_steps if s.status.has_failed()]
                yield _describe(scenario, f"Scenario: {scenario.name}", steps)


def keep_log_tails(context: Any, statement: Any) -> None:
    """Keeps the ends of the logs of running processes with a failed step.

    The logs of a fleet are deleted when it stops, so they are read right
    after the failure.

    Args:
        context: The context of the behave run.
        statement: The behave step or feature that failed.
    """
    tails_by_name: dict[str, str] = {}
    for attribute in FLEET_ATTRIBUTES:
        fleet = getattr(context, attribute, None)
        if isinstance(fleet, Fleet | PlatformFleet):
            tails_by_name |= fleet.log_tails(LOG_TAIL_CHARS)
    statement.log_tails_by_name = tails_by_name


def _describe(statement: Any, title: str, steps: list[Any]) -> str:
    lines = [f"{statement.location} {title} ({statement.status.name})"]
    lines += _describe_error(statement)
    for step in steps:
        duration = f"{step.status.name} after {step.duration:.2f} s"
        lines.append(f"{step.location} {step.keyword} {step.name} ({duration})")
        lines += _describe_error(step)
    return "\n".join(lines)


def _describe_error(statement: Any) -> list[str]:
    message = statement.error_message or ""
    exception = statement.exception
    # Behave includes the traceback in the message of errors, but not of
    # failed assertions and hooks.
    if exception is not None and "Traceback (most recent" not in message:
        message += "\n" + "".join(traceback.format_exception(exception))
    lines = _shorten(message.strip()).splitlines()
    lines += _describe_locals(exception)
    for name, tail in getattr(statement, "log_tails_by_name", {}).items():
        if tail:
            lines += [f"end of the log of {name}:", *tail.splitlines()]
    return [f"  {line}" for line in lines]


def _describe_locals(exception: BaseException | None) -> list[str]:
    """Returns the local variables of the function that raised an exception.

    They show the values that an assertion without a message compared.
    """
    frames = list(
        traceback.walk_tb(exception.__traceback__ if exception else None)
    )
    if not frames:
        return []
    limited = reprlib.Repr()
    limited.maxstring = limited.maxother = MAX_LOCAL_CHARS
    return [
        f"{name} = {limited.repr(value)}"
        for name, value in frames[-1][0].f_locals.items()
    ]


def _shorten(text: str) -> str:
    """Omits the middle of a text that is too long."""
    omitted = len(text) - MAX_ERROR_CHARS
    if omitted <= 0:
        return text
    head = text[: MAX_ERROR_CHARS // 2]
    tail = text[-MAX_ERROR_CHARS // 2 :]
    return f"{head}\n[{omitted} characters omitted]\n{tail}"
