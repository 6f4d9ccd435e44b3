"""The basis of all reports: declared sections over merged snapshots."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypedDict

from hibiscuspin.config import Config
from hibiscuspin.report.snapshot import MeasurementSnapshot
from hibiscuspin.report.table import Bar, Column, Table

__all__ = ["Answer", "Report", "Row", "Section", "ReportInput", "ratio"]

Row = dict[str, Any]


class ReportInput(NamedTuple):
    """The input of a report.

    Attributes:
        config: The current configuration.
        snapshots: The newest snapshot of each instance.
        now_s: The wall-clock time, in seconds since the epoch.
    """

    config: Config
    snapshots: Sequence[MeasurementSnapshot]
    now_s: float


class Answer(TypedDict):
    """A report as the administration interface returns it."""

    report: str
    rows_by_section: dict[str, list[dict[str, Any]]]
    broken: list[str]
    instances: int


class Section(NamedTuple):
    """One table of a report."""

    key: str
    title: str
    columns: Sequence[Column]
    bars: Sequence[Bar] = ()


class Report(NamedTuple):
    """The declaration of a report: its tables and how to compute them.

    Attributes:
        name: The name by which operators request the report.
        sections: The declarations of its tables.
        rows: Returns the rows of each section by its key.
        find_violations: Returns a message for each declared bound that is
            exceeded.
    """

    name: str
    sections: Sequence[Section]
    rows: Callable[[ReportInput], dict[str, list[Row]]]
    find_violations: Callable[[Mapping[str, list[Row]]], list[str]]

    def build(self, report_input: ReportInput) -> Answer:
        """Builds the report from its input."""
        rows_by_section = self.rows(report_input)
        return {
            "report": self.name,
            "rows_by_section": rows_by_section,
            "broken": self.find_violations(rows_by_section),
            "instances": len(report_input.snapshots),
        }

    def tables(self, answer: Answer) -> list[Table]:
        """Returns the tables of a built report."""
        tables = [
            Table(
                section.title,
                section.columns,
                answer["rows_by_section"][section.key],
                section.bars,
            )
            for section in self.sections
        ]
        notes = [f"Merged from {answer['instances']} instances."]
        notes += [f"Broken: {text}." for text in answer["broken"]]
        tables[-1] = tables[-1]._replace(notes=notes)
        return tables


def ratio(numerator: float, denominator: float) -> float:
    """Returns the ratio, or 0 if the denominator is 0."""
    return numerator / denominator if denominator else 0.0
