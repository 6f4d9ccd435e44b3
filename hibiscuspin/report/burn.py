"""Burn rates of the error budgets of the declared service levels."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from hibiscuspin.config import Config
from hibiscuspin.config.schema import ServiceLevel
from hibiscuspin.metrics import (
    MAX_LATENCY_US,
    MIN_LATENCY_US,
    SIGNIFICANT_DIGITS,
    US_PER_S,
)
from hibiscuspin.report.engine import Report, ReportInput, Row, Section, ratio
from hibiscuspin.report.snapshot import (
    BUDGET_WINDOW,
    LONG_WINDOW,
    SHORT_WINDOW,
    OutcomeCount,
)
from hibiscuspin.report.table import Bar, Column

__all__ = ["REPORT"]

SECTIONS = (
    Section(
        "levels",
        "Service levels",
        (
            Column("level", "service level"),
            Column("objective", "objective", ".3%"),
            Column("requests", "requests", "d"),
            Column("bad", "bad", "d"),
            Column("budget_left", "budget left", ".1%"),
            Column("burn_short", "burn rate, 5 min", ".2f"),
            Column("burn_long", "burn rate, 1 h", ".2f"),
            Column("p50_s", "p50 (s)", ".3f"),
            Column("p99_s", "p99 (s)", ".3f"),
        ),
        (Bar("level", "burn_short", 1.0), Bar("level", "burn_long", 1.0)),
    ),
    Section(
        "causes",
        "What burnt the budgets",
        (
            Column("level", "service level"),
            Column("error", "error"),
            Column("target", "target"),
            Column("site", "site"),
            Column("team", "team"),
            Column("requests", "requests", "d"),
            Column("share", "share of budget", ".1%"),
        ),
        (Bar("error", "requests"),),
    ),
)


def rows(report_input: ReportInput) -> dict[str, list[Row]]:
    """Returns the rows of each section by its key."""
    outcomes = [
        outcome
        for snapshot in report_input.snapshots
        for outcome in snapshot.outcomes
    ]
    levels = report_input.config["service_levels_by_name"]
    latencies = merge_latencies(report_input)
    return {
        "levels": [
            _level_row(name, level, outcomes, latencies.get(level["kind"]))
            for name, level in levels.items()
        ],
        "causes": _cause_rows(report_input.config, outcomes),
    }


def merge_latencies(report_input: ReportInput) -> dict[str, HdrHistogram]:
    """Returns the latencies by path label, merged over all instances.

    The path label of a request is the kind of its service level, for example
    `live`.
    """
    merged: dict[str, HdrHistogram] = {}
    for snapshot in report_input.snapshots:
        for path, encoded in snapshot.latencies_by_path.items():
            histogram = merged.setdefault(
                path,
                HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                ),
            )
            histogram.decode_and_add(encoded)
    return merged


def _level_row(
    name: str,
    level: ServiceLevel,
    outcomes: list[OutcomeCount],
    latency: HdrHistogram | None,
) -> Row:
    allowed = 1 - level["objective"]
    total, bad = _count_requests(name, BUDGET_WINDOW, outcomes)
    row: Row = {
        "level": name,
        "objective": level["objective"],
        "requests": total,
        "bad": bad,
        "budget_left": 1 - _burn_rate(total, bad, allowed),
        "burn_short": _burn_rate(
            *_count_requests(name, SHORT_WINDOW, outcomes), allowed
        ),
        "burn_long": _burn_rate(
            *_count_requests(name, LONG_WINDOW, outcomes), allowed
        ),
    }
    if latency is not None:
        row["p50_s"] = latency.get_value_at_percentile(50) / US_PER_S
        row["p99_s"] = latency.get_value_at_percentile(99) / US_PER_S
    return row


def _count_requests(
    name: str, window: str, outcomes: list[OutcomeCount]
) -> tuple[int, int]:
    matching = [
        outcome
        for outcome in outcomes
        if outcome.level == name and outcome.window == window
    ]
    total = sum(outcome.requests for outcome in matching)
    return total, sum(outcome.requests for outcome in matching if outcome.error)


def _burn_rate(total: int, bad: int, allowed: float) -> float:
    if not bad:
        return 0.0
    return ratio(bad, total) / allowed if allowed else float(bad)


def _cause_rows(config: Config, outcomes: list[OutcomeCount]) -> list[Row]:
    levels = config["service_levels_by_name"]
    counts: Counter[tuple[str, str, str, str]] = Counter()
    for outcome in outcomes:
        if (
            outcome.window == BUDGET_WINDOW
            and outcome.error
            and outcome.level in levels
        ):
            counts[
                outcome.level, outcome.error, outcome.target, outcome.team
            ] += outcome.requests
    causes = []
    for (level, error, target, team), count in counts.most_common():
        total, _ = _count_requests(level, BUDGET_WINDOW, outcomes)
        allowed = total * (1 - levels[level]["objective"])
        causes.append(
            {
                "level": level,
                "error": error,
                "target": target,
                "site": find_site(config, target),
                "team": team,
                "requests": count,
                "share": ratio(count, allowed),
            }
        )
    return causes


def find_site(config: Config, target: str) -> str:
    """Returns the site of a target, or an empty string if there is none."""
    declared: Any = config["targets_by_name"].get(target)
    if declared is None:
        return ""
    for name, site in config["sites_by_name"].items():
        if declared["data_centre"] in site["data_centres"]:
            return name
    return ""


def find_violations(rows_by_section: Mapping[str, list[Row]]) -> list[str]:
    """Returns a message for each service level that exceeds its budget."""
    return [
        f"the error budget of {row['level']} is used up"
        for row in rows_by_section["levels"]
        if row["budget_left"] < 0
    ]


REPORT = Report("burn", SECTIONS, rows, find_violations)
