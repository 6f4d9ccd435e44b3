"""Policies for how far generation runs ahead of the step being pulled.

Generating ahead reduces the idle time of a trainer but makes its samples more
stale. Each trainer declares weights for both. `LOOKAHEAD_POLICIES` contains
the policies by name.
"""

from typing import NamedTuple, Protocol

__all__ = [
    "LOOKAHEAD_POLICIES",
    "AllSubmitted",
    "LookaheadPolicy",
    "LookaheadInputs",
    "WeightedLookahead",
]


class LookaheadInputs(NamedTuple):
    """The inputs of a look-ahead policy.

    Attributes:
        step_slots: Number of slots in the step being pulled.
        staleness_bound: The declared staleness bound, in versions.
        versions_per_step: Mean number of versions published per step.
        staleness_weight: The declared weight of staleness.
        idle_weight: The declared weight of idle time.
    """

    step_slots: int
    staleness_bound: int
    versions_per_step: float
    staleness_weight: float
    idle_weight: float


class LookaheadPolicy(Protocol):
    """A policy for the number of slots to generate ahead."""

    def slots_ahead(self, inputs: LookaheadInputs) -> int:
        """Returns how many slots of later steps may be running or stored."""


class NoLookahead:
    """Starts a step only when the trainer pulls it."""

    def slots_ahead(self, inputs: LookaheadInputs) -> int:
        """Returns 0."""
        return 0


class AllSubmitted:
    """Starts all submitted slots without a limit."""

    def slots_ahead(self, inputs: LookaheadInputs) -> int:
        """Returns a number larger than the slots of any trainer."""
        return 1 << 62


class WeightedLookahead:
    """Uses a share of the staleness bound, by the weight of idle time."""

    def slots_ahead(self, inputs: LookaheadInputs) -> int:
        """Returns that share of the slots that the staleness bound allows."""
        weights = inputs.idle_weight + inputs.staleness_weight
        share = inputs.idle_weight / weights if weights else 0.5
        steps = inputs.staleness_bound / max(1.0, inputs.versions_per_step)
        return round(share * steps * inputs.step_slots)


LOOKAHEAD_POLICIES: dict[str, type[LookaheadPolicy]] = {
    "none": NoLookahead,
    "all": AllSubmitted,
    "weighted": WeightedLookahead,
}
