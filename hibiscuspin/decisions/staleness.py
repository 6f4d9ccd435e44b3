"""How old a sample is, in versions of its trainer, now and at its hand-over."""

import math
from collections.abc import Sequence
from typing import NamedTuple, TypedDict

__all__ = ["Span", "VersionRate", "fold", "least_version", "oldest"]

RATE_WEIGHT = 0.3


class Span(TypedDict):
    """A run of tokens that one weight version produced."""

    version: int
    first: int
    end: int


class VersionRate(NamedTuple):
    """How many versions a trainer publishes for each step.

    Attributes:
        step: The step at the last observation.
        version: The version at that time.
        per_step: A moving mean.
    """

    step: int = -1
    version: int = 0
    per_step: float = 1.0

    def observe(self, step: int, version: int) -> "VersionRate":
        """Returns the rate after a trainer began to pull a step."""
        if self.step < 0 or step <= self.step:
            return VersionRate(max(step, self.step), version, self.per_step)
        seen = max(0, version - self.version) / (step - self.step)
        mean = self.per_step + RATE_WEIGHT * (seen - self.per_step)
        return VersionRate(step, version, mean)


def oldest(spans: Sequence[Span]) -> int:
    """Returns the oldest version that gave a token of a sample."""
    return min((span["version"] for span in spans), default=0)


def least_version(
    current: int, bound: int, steps_ahead: int, rate: VersionRate
) -> int:
    """Returns the oldest version that may be in a sample.

    Args:
        current: The trainer's version.
        bound: How many versions older than the trainer a sample may be.
        steps_ahead: How many steps lie between now and the hand-over.
        rate: Foretells the versions published until then.

    Returns:
        A version above `current` where no sample can be started yet.
    """
    later = math.floor(steps_ahead * rate.per_step + 0.5)
    return current + max(0, later) - bound


def fold(versions: Sequence[int]) -> list[Span]:
    """Folds the version of each token into runs."""
    folded: list[Span] = []
    for position, version in enumerate(versions):
        if folded and folded[-1]["version"] == version:
            folded[-1]["end"] = position + 1
        else:
            folded.append(
                {"version": version, "first": position, "end": position + 1}
            )
    return folded
