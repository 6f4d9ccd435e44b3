"""The command that prints reports."""

import pathlib

from hibiscuspin.commands.client import AdminClient
from hibiscuspin.commands.outcome import EXIT_DEGRADED, CommandError, Outcome
from hibiscuspin.report import REPORTS
from hibiscuspin.report.formats import FORMATS, get_format

__all__ = ["report"]


def report(
    name: str, format: str = "table", out: str = "", json: bool = False
) -> Outcome:
    """Prints a report: burn, spend, staleness or idle.

    Exits with code 3 if a declared bound is exceeded.

    Args:
        name: The name of the report.
        format: The output format: table, json or html.
        out: A file to write the report to instead of printing it.
        json: Short for `--format=json`.
    """
    if name not in REPORTS:
        raise CommandError(
            f"unknown report {name!r}; known: {', '.join(REPORTS)}"
        )
    if format not in FORMATS:
        raise CommandError(
            f"unknown format {format!r}; known: {', '.join(FORMATS)}"
        )
    response = AdminClient.from_environment().get(f"reports/{name}")
    tables = REPORTS[name].tables(response)
    text = get_format("json" if json else format).format(tables)
    if out:
        pathlib.Path(out).write_text(text, encoding="utf-8")
        text = f"The report was written to {out}."
    code = EXIT_DEGRADED if response["broken"] else 0
    return Outcome(text, response, False, code)
