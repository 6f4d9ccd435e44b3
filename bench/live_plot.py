"""Plots the rows of `bench.live` as bar charts."""

import pathlib
from collections.abc import Sequence
from typing import NamedTuple

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

__all__ = ["Bar", "draw"]


class Bar(NamedTuple):
    """The bars of one measured load.

    Attributes:
        label: Case, variant and rate.
        p99_s: 99th percentile of the latency in seconds.
        rate_per_s: Requests sent per second.
        goodput_per_s: Requests answered in time per second.
    """

    label: str
    p99_s: float
    rate_per_s: float
    goodput_per_s: float


def draw(bars: Sequence[Bar], path: pathlib.Path) -> None:
    """Writes an SVG file with charts of latency and goodput."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4), sharey=True)
    labels = [bar.label for bar in bars]
    left.barh(labels, [bar.p99_s for bar in bars])
    left.set_xlabel("99th percentile in s")
    left.invert_yaxis()
    right.barh(labels, [bar.rate_per_s for bar in bars], label="sent")
    right.barh(labels, [bar.goodput_per_s for bar in bars], label="in time")
    right.set_xlabel("requests a second")
    right.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
