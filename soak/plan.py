"""What goes wrong when: a plan that its seed alone decides."""

import random
from typing import NamedTuple

from soak.proxy import MODES

__all__ = ["Fault", "make_plan"]

FAULT_PHASE_S = 12.0
EARLIEST_FAULT_S = 1.0
MIN_FAULT_DURATION_S = 0.5
MAX_FAULT_DURATION_S = 4.0
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

    at_s: float
    kind: str
    target_index: int
    mode: str
    duration_s: float


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
        target_count = engines if kind.startswith("engine") else instances
        faults.append(
            Fault(
                round(draw.uniform(EARLIEST_FAULT_S, FAULT_PHASE_S), 2),
                kind,
                draw.randrange(target_count),
                draw.choice(MODES[1:]),
                round(
                    draw.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S), 2
                ),
            )
        )
    return sorted(faults)
