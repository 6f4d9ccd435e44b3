"""The plan of faults for a seed; the same seed gives the same plan."""

import random
from typing import NamedTuple

from soak.proxy import MODES

__all__ = ["Fault", "make_plan"]

FAULT_PHASE_S = 12.0
EARLIEST_FAULT_S = 1.0
MIN_FAULT_DURATION_S = 0.5
MAX_FAULT_DURATION_S = 4.0
# Faults of an instance's process: SIGKILL, SIGSTOP and SIGTERM.
PROCESS_KINDS = ("kill", "pause", "term")
STORE_KINDS = ("store_out", "store_slow", "lose_answers", "compact")
CHANGE_KINDS = ("config", "version")


class Fault(NamedTuple):
    """One fault of a plan.

    Attributes:
        at_s: Time of the injection, in seconds from the start.
        kind: Kind of the fault, one of those listed in `make_plan`.
        target_index: Index of the affected instance or engine.
        mode: Mode of the proxy, for faults of a link.
        duration_s: Time until the fault is healed; some kinds ignore it.
    """

    at_s: float
    kind: str
    target_index: int
    mode: str
    duration_s: float


def make_plan(seed: int, instances: int, engines: int) -> list[Fault]:
    """Returns the faults of a seed, sorted by time; they may overlap."""
    rng = random.Random(seed)
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
    for _ in range(rng.randint(3, 8)):
        kind = rng.choice(kinds)
        target_count = engines if kind.startswith("engine") else instances
        faults.append(
            Fault(
                round(rng.uniform(EARLIEST_FAULT_S, FAULT_PHASE_S), 2),
                kind,
                rng.randrange(target_count),
                rng.choice(MODES[1:]),
                round(
                    rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S), 2
                ),
            )
        )
    return sorted(faults)
