"""Staleness of the samples that trainers received, in weight versions."""

from collections import Counter
from collections.abc import Mapping

from hibiscuspin.report.engine import Report, ReportInput, Row, Section, ratio
from hibiscuspin.report.table import Bar, Column

__all__ = ["REPORT"]

SECTIONS = (
    Section(
        "trainers",
        "Staleness by trainer",
        (
            Column("trainer", "trainer"),
            Column("samples", "samples", "d"),
            Column("mean", "mean (versions)", ".2f"),
            Column("greatest", "greatest (versions)", "d"),
            Column("bound", "bound (versions)", "d"),
        ),
        (Bar("trainer", "mean"),),
    ),
    Section(
        "spread",
        "Samples by staleness",
        (
            Column("trainer", "trainer"),
            Column("versions", "staleness (versions)", "d"),
            Column("samples", "samples", "d"),
        ),
        (Bar("versions", "samples"),),
    ),
)


def rows(report_input: ReportInput) -> dict[str, list[Row]]:
    """Returns the rows of each section by its key."""
    counts_by_trainer: dict[str, Counter[int]] = {
        name: Counter() for name in report_input.config["trainers_by_name"]
    }
    for snapshot in report_input.snapshots:
        for count in snapshot.staleness:
            counts = counts_by_trainer.setdefault(count.trainer, Counter())
            counts[count.versions] += count.samples
    trainers = report_input.config["trainers_by_name"]
    return {
        "trainers": [
            {
                "trainer": name,
                "samples": counts.total(),
                "mean": _mean(counts),
                "greatest": max(counts, default=0),
                "bound": trainers[name]["staleness_bound_versions"],
            }
            for name, counts in counts_by_trainer.items()
            if name in trainers
        ],
        "spread": [
            {"trainer": name, "versions": versions, "samples": samples}
            for name, counts in counts_by_trainer.items()
            for versions, samples in sorted(counts.items())
        ],
    }


def _mean(counts: Counter[int]) -> float:
    weighted = sum(versions * samples for versions, samples in counts.items())
    return ratio(weighted, counts.total())


def find_violations(rows_by_section: Mapping[str, list[Row]]) -> list[str]:
    """Returns a message for each trainer that got a sample over its bound."""
    return [
        f"{row['trainer']} received a sample over its staleness bound"
        for row in rows_by_section["trainers"]
        if row["greatest"] > row["bound"]
    ]


REPORT = Report("staleness", SECTIONS, rows, find_violations)
