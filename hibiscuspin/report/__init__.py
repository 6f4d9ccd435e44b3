"""Reports over the measurements of all instances, by name."""

from hibiscuspin.report import burn, idle, spend, staleness
from hibiscuspin.report.engine import Report

__all__ = ["REPORTS"]

REPORTS: dict[str, Report] = {
    report.name: report
    for report in (burn.REPORT, spend.REPORT, staleness.REPORT, idle.REPORT)
}
