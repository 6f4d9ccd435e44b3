"""Latency histograms and counters, exposed in the Prometheus format."""

import threading

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from hibiscuspin.memory import MemoryBudget
from hibiscuspin.organisation_counts import OrganisationCounts

__all__ = ["Metrics"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class Metrics(Collector):
    """The metrics of one instance."""

    CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histograms_by_path: dict[str, HdrHistogram] = {}
        self._sums_by_path: dict[str, float] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self.organisations = OrganisationCounts()
        self._registry.register(self.organisations)
        self.requests = Counter(
            "hibiscuspin_requests",
            "Requests by path and error code.",
            ("path", "code"),
            registry=self._registry,
        )

        self.closed_connections = Counter(
            "hibiscuspin_closed_connections",
            "Connections of clients that were refused or closed, by cause.",
            ("listener", "cause"),
            registry=self._registry,
        )
        self.request_memory = Gauge(
            "hibiscuspin_request_memory_bytes",
            "Memory of requests and responses: `used`, and its `limit`.",
            ("kind",),
            registry=self._registry,
        )

        self.store_calls = Counter(
            "hibiscuspin_store_calls",
            "Calls to the store by cause and outcome; failed ones count too.",
            ("cause", "outcome"),
            registry=self._registry,
        )

        self.limited_sends = Counter(
            "hibiscuspin_limited_sends",
            "Requests to targets that named a request limit, by purpose.",
            ("purpose",),
            registry=self._registry,
        )

        self.crash_decisions = Counter(
            "hibiscuspin_crash_decisions",
            "Crashes under requests, and requests refused or cleared for them.",
            ("decision",),
            registry=self._registry,
        )

        self.targets_reached = Gauge(
            "hibiscuspin_targets_reached",
            "0 while no target answers this instance, else 1.",
            registry=self._registry,
        )
        self.targets_reached.set(1)

        self.engine_orders = Counter(
            "hibiscuspin_engine_orders",
            "Orders of engines by service and outcome.",
            ("service", "outcome"),
            registry=self._registry,
        )
        self.engines_wanted = Gauge(
            "hibiscuspin_engines_wanted",
            "Engines that the coordinator wants, by service.",
            ("service",),
            registry=self._registry,
        )
        self.engines_seen = Gauge(
            "hibiscuspin_engines_seen",
            "Listed engines that are not leaving, by service.",
            ("service",),
            registry=self._registry,
        )

        self.resumed_streams = Counter(
            "hibiscuspin_resumed_streams",
            "Streams that callers took up again, by error code or `resumed`.",
            ("outcome",),
            registry=self._registry,
        )

        self.duty_calls = Counter(
            "hibiscuspin_duty_calls",
            "Calls that only the coordinator makes, by call and outcome.",
            ("call", "outcome"),
            registry=self._registry,
        )

        self.usage_last_window = Gauge(
            "hibiscuspin_usage_last_window",
            "The last window whose usage report of this instance was accepted.",
            registry=self._registry,
        )

        self.usage_late_requests = Counter(
            "hibiscuspin_usage_late_requests",
            "Requests that became known after their window was reported.",
            registry=self._registry,
        )

    def show_memory(self, memory: MemoryBudget) -> None:
        """Exposes a budget of memory."""
        used = self.request_memory.labels("used")
        used.set_function(lambda: memory.used_bytes)
        self.request_memory.labels("limit").set(memory.limit_bytes)

    def observe(self, path: str, seconds: float) -> None:
        """Records the latency of one request to a path."""
        with self._lock:
            histogram = self._histograms_by_path.get(path)
            if histogram is None:
                histogram = HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._histograms_by_path[path] = histogram
            histogram.record_value(max(MIN_LATENCY_US, int(seconds * US_PER_S)))
            sums = self._sums_by_path
            sums[path] = sums.get(path, 0.0) + seconds

    def encode_histograms(self) -> dict[str, str]:
        """Returns the encoded HdrHistogram of each path."""
        with self._lock:
            return {
                path: histogram.encode().decode()
                for path, histogram in self._histograms_by_path.items()
            }

    def collect(self):  # type: ignore[no-untyped-def]
        """Yields the latencies as a summary; called by the registry."""
        family = SummaryMetricFamily(
            "hibiscuspin_latency_seconds", "Latency by path.", labels=("path",)
        )
        with self._lock:
            for path, histogram in self._histograms_by_path.items():
                total = histogram.get_total_count()
                family.add_metric((path,), total, self._sums_by_path[path])
        yield family

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus exposition format."""
        return generate_latest(self._registry)
