"""Idle time of trainers: how long their pulls waited for samples."""

from collections.abc import Mapping

from hibiscuspin.report.engine import Report, ReportInput, Row, Section, ratio
from hibiscuspin.report.table import Bar, Column

__all__ = ["REPORT"]

SECTIONS = (
    Section(
        "trainers",
        "Idle time by trainer",
        (
            Column("trainer", "trainer"),
            Column("waited_s", "waited (s)", ".1f"),
            Column("elapsed_s", "at work (s)", ".1f"),
            Column("share", "idle share", ".1%"),
        ),
        (Bar("trainer", "share"),),
    ),
)


def rows(report_input: ReportInput) -> dict[str, list[Row]]:
    """Returns the rows of each section by its key."""
    table = []
    for name in report_input.config["trainers_by_name"]:
        idle = [
            idle
            for snapshot in report_input.snapshots
            for idle in snapshot.idle
            if idle.trainer == name
        ]
        waited_s = sum(item.waited_s for item in idle)
        elapsed_s = sum(item.elapsed_s for item in idle)
        table.append(
            {
                "trainer": name,
                "waited_s": waited_s,
                "elapsed_s": elapsed_s,
                "share": ratio(waited_s, elapsed_s),
            }
        )
    return {"trainers": table}


def find_violations(rows_by_section: Mapping[str, list[Row]]) -> list[str]:
    """Returns no messages: the configuration has no bound on idle time."""
    return []


REPORT = Report("idle", SECTIONS, rows, find_violations)
