"""What goes wrong when: a plan that its seed alone decides."""

import random
from typing import NamedTuple

from soak.proxy import MODES

__all__ = ["Fault", "make_plan"]

FAULTS_S = 12.0
FIRST_S = 1.0
LEAST_S = 0.5
MOST_S = 4.0
# Instances that are stopped, killed or paused in one plan.
PROCESS_KINDS = ("kill", "pause", "term")
STORE_KINDS = ("store_out", "store_slow", "lose_answers", "compact")
CHANGE_KINDS = ("config", "version")


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: When it begins, in seconds from the start.
        kind: What it is.
        target: The index of what it strikes.
        mode: How a link fails.
        for_s: How long it lasts.
    """

    at: float
    kind: str
    target: int
    mode: str
    for_s: float


def make_plan(seed: int, instances: int, engines: int) -> list[Fault]:
    """Returns the faults of a seed in order; they may overlap."""
    draw = random.Random(seed)
    kinds = (
        *PROCESS_KINDS,
        *STORE_KINDS,
        *CHANGE_KINDS,
        "store_link",
        "store_link",
        "engine_link",
        "engine_link",
        "engine_kill",
    )
    faults = []
    for _ in range(draw.randint(3, 8)):
        kind = draw.choice(kinds)
        many = engines if kind.startswith("engine") else instances
        faults.append(
            Fault(
                round(draw.uniform(FIRST_S, FAULTS_S), 2),
                kind,
                draw.randrange(many),
                draw.choice(MODES[1:]),
                round(draw.uniform(LEAST_S, MOST_S), 2),
            )
        )
    return sorted(faults)
