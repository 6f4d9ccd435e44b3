"""Spend of each site compared with its budget for the current period."""

from collections.abc import Callable, Mapping

from hibiscuspin.report.engine import Report, ReportInput, Row, Section, ratio
from hibiscuspin.report.snapshot import Cost
from hibiscuspin.report.table import Bar, Column

__all__ = ["REPORT"]

CURRENCIES = ("engine_seconds", "tokens", "cross_region_bytes")
AMOUNT_COLUMNS = (
    Column("engine_seconds", "engine seconds", ".1f"),
    Column("tokens", "tokens", "d"),
    Column("cross_region_bytes", "cross-region bytes", "d"),
)

SECTIONS = (
    Section(
        "sites",
        "Declared and spent in the current period",
        (
            Column("site", "site"),
            Column("currency", "currency"),
            Column("declared", "declared", ".0f"),
            Column("spent", "spent", ".1f"),
            Column("share", "share", ".1%"),
        ),
        (Bar("currency", "share", 1.0),),
    ),
    Section(
        "purposes",
        "What it was spent on",
        (
            Column("site", "site"),
            Column("team", "team"),
            Column("trainer", "trainer"),
            Column("cause", "cause"),
            *AMOUNT_COLUMNS,
        ),
        (Bar("cause", "engine_seconds"),),
    ),
)


def rows(report_input: ReportInput) -> dict[str, list[Row]]:
    """Returns the rows of each section by its key."""
    sites = report_input.config["sites_by_name"]
    period_by_site = {
        name: int(report_input.now_s // site["spend"]["period_s"])
        for name, site in sites.items()
    }
    costs = [
        cost
        for snapshot in report_input.snapshots
        for cost in snapshot.costs
        if period_by_site.get(cost.site) == cost.period
    ]
    declared = []
    for name, site in sites.items():
        for currency in CURRENCIES:
            budget = float(site["spend"][currency])  # type: ignore[literal-required]
            spent = sum(getattr(c, currency) for c in costs if c.site == name)
            declared.append(
                {
                    "site": name,
                    "currency": currency,
                    "declared": budget,
                    "spent": spent,
                    "share": ratio(spent, budget),
                }
            )
    return {"sites": declared, "purposes": _purpose_rows(costs)}


def _purpose_rows(costs: list[Cost]) -> list[Row]:
    key: Callable[[Cost], tuple[str, ...]] = lambda cost: (  # noqa: E731
        cost.site,
        cost.team,
        cost.trainer,
        cost.cause,
    )
    totals_by_key: dict[tuple[str, ...], Row] = {}
    for cost in costs:
        row = totals_by_key.setdefault(
            key(cost),
            {
                "site": cost.site,
                "team": cost.team,
                "trainer": cost.trainer,
                "cause": cost.cause,
                **dict.fromkeys(CURRENCIES, 0),
            },
        )
        for currency in CURRENCIES:
            row[currency] += getattr(cost, currency)
    return [totals_by_key[k] for k in sorted(totals_by_key)]


def find_violations(rows_by_section: Mapping[str, list[Row]]) -> list[str]:
    """Returns a message for each budget of a site that is exceeded."""
    return [
        f"{row['site']} has spent {row['currency']} beyond its budget"
        for row in rows_by_section["sites"]
        if row["spent"] > row["declared"]
    ]


REPORT = Report("spend", SECTIONS, rows, find_violations)
