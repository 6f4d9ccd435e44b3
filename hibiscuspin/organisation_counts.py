"""Counts requests by organisation with a bounded number of labels."""

import threading
from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

__all__ = ["MAX_LABELS", "OTHER_LABEL", "OrganisationCounts"]

# Each label is a time series for each outcome on each instance.
MAX_LABELS = 50
OTHER_LABEL = "other"


class OrganisationCounts(Collector):
    """Requests by organisation and outcome; the most frequent have labels.

    All others count under `OTHER_LABEL`. An organisation that becomes more
    frequent than one with a label takes its place and starts from 0, while the
    counts of the replaced one move to the others. So no exposed count ever
    falls, which readers would take for a restart.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total_by_organisation: Counter[str] = Counter()
        self._count_by_outcome_by_label: dict[str, Counter[str]] = {
            OTHER_LABEL: Counter()
        }

    def count(self, organisation: str, outcome: str) -> None:
        """Counts one request.

        Args:
            organisation: Its organisation; empty without a valid key.
            outcome: The error code, or `ok`.
        """
        with self._lock:
            self._total_by_organisation[organisation] += 1
            label = self._label(organisation)
            self._count_by_outcome_by_label[label][outcome] += 1

    def _label(self, organisation: str) -> str:
        counts = self._count_by_outcome_by_label
        if organisation in counts:
            return organisation
        if len(counts) > MAX_LABELS:
            totals = self._total_by_organisation
            rarest = min(
                (label for label in counts if label != OTHER_LABEL),
                key=totals.__getitem__,
            )
            if totals[organisation] <= totals[rarest]:
                return OTHER_LABEL
            counts[OTHER_LABEL].update(counts.pop(rarest))
        counts[organisation] = Counter()
        return organisation

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yields the counts; called by the registry."""
        family = CounterMetricFamily(
            "hibiscuspin_organisation_requests",
            "Requests by organisation and outcome; `other` is all but the "
            f"{MAX_LABELS} most frequent, an empty one is without a valid key.",
            labels=("organisation", "outcome"),
        )
        with self._lock:
            for label, counts in self._count_by_outcome_by_label.items():
                for outcome, count in counts.items():
                    family.add_metric((label, outcome), count)
        yield family
