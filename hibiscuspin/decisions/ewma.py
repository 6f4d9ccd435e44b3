"""Exponentially weighted moving averages that decay to a prior with age."""

from typing import NamedTuple

__all__ = ["Mean", "add", "estimate"]

SAMPLE_WEIGHT = 0.2
HALF_LIFE_S = 20.0


class Mean(NamedTuple):
    """A moving average and the monotonic time of its last sample."""

    value: float
    updated_at: float


def add(mean: Mean | None, sample: float, now: float) -> Mean:
    """Returns the mean after one more sample."""
    if mean is None:
        return Mean(sample, now)
    value = mean.value + SAMPLE_WEIGHT * (sample - mean.value)
    return Mean(value, now)


def estimate(mean: Mean | None, prior: float, now: float) -> float:
    """Returns the mean, which moves halfway to the prior each half-life.

    This way a target that was slow once is eventually tried again.
    """
    if mean is None:
        return prior
    weight: float = 0.5 ** (max(0.0, now - mean.updated_at) / HALF_LIFE_S)
    return prior + weight * (mean.value - prior)
