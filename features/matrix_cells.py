"""The fault matrix: paths, their steps, the faults, and what covers a cell.

A cell is covered by the scenario `PATH STEP, FAULT` of `features/matrix`, by
a scenario of another feature that `ELSEWHERE` names, or by a reason in
`REASONS` why the fault can't occur at the step. `cells` puts them together.
"""

import pathlib
from collections.abc import Iterator
from typing import NamedTuple

from behave.parser import parse_file

__all__ = ["FAULTS", "PATHS", "Cell", "cells"]

FEATURES = pathlib.Path(__file__).parent

PATHS: dict[str, tuple[str, ...]] = {
    "live": (
        "accept",
        "claim",
        "choose",
        "send",
        "stream",
        "answer",
        "record",
    ),
    "rollout": (
        "submit",
        "dispatch",
        "generate",
        "score",
        "commit",
        "hand_over",
        "acknowledge",
    ),
    "weights": ("fetch", "stage", "switch", "confirm"),
    "configuration": ("check", "write", "notify", "apply"),
    "stop": ("unready", "hand_over", "drain", "exit"),
}
FAULTS = (
    "engine_crash",
    "process_death",
    "swap_failure",
    "store_down",
    "store_slow",
    "lost_answer",
    "paused_holder",
    "racing_operators",
    "silent_connection",
    "partition",
)
ANY = "*"

ELSEWHERE: dict[tuple[str, str, str], str] = {
    (
        "live",
        "accept",
        "silent_connection",
    ): "a sender that falls silent loses its connection",
    ("live", "stream", "engine_crash"): "the engine process is killed",
    ("live", "stream", "silent_connection"): "open streams go silent",
    ("live", "stream", "lost_answer"): "a stream that was cut is resumed",
    ("live", "stream", "partition"): "the engine answers nothing",
    ("configuration", "notify", "lost_answer"): (
        "Snapshot tables agree after reconciliation in any order"
    ),
    ("configuration", "notify", "silent_connection"): (
        "Snapshot tables agree after reconciliation in any order"
    ),
    ("weights", "fetch", "store_down"): "a fetch fails during stage",
    ("weights", "stage", "engine_crash"): "an engine crashes during stage",
    ("weights", "stage", "partition"): "a region is cut off during stage",
    ("weights", "stage", "lost_answer"): "status is lost during stage",
    (
        "weights",
        "stage",
        "racing_operators",
    ): "a newer version overtakes during stage",
    ("weights", "switch", "engine_crash"): "an engine crashes during switch",
    ("weights", "switch", "swap_failure"): "a switch fails during switch",
    ("weights", "switch", "partition"): "a region is cut off during switch",
    ("weights", "switch", "lost_answer"): "status is lost during switch",
    (
        "weights",
        "switch",
        "racing_operators",
    ): "a newer version overtakes during switch",
    ("rollout", "generate", "engine_crash"): (
        "a tagged engine that crashes and resumes"
    ),
    ("rollout", "generate", "swap_failure"): (
        "a tagged engine that came back with old weights"
    ),
    ("rollout", "score", "lost_answer"): (
        "scoring when the scorer fails twice"
    ),
}

NO_ENGINE = "No engine takes part in this step."
NO_WEIGHTS = "Weights take no part: an engine that fails to swap serves on."
NO_STORE = "The step makes no call of the store."
IN_MEMORY = "The step is a decision in memory; it sends nothing."
UNANSWERED = "No message that this step sends is answered."

REASONS: dict[tuple[str, str, str], str] = {
    ("live", ANY, "swap_failure"): NO_WEIGHTS,
    ("live", "accept", "lost_answer"): UNANSWERED,
    ("live", "claim", "engine_crash"): NO_ENGINE,
    ("live", "choose", "lost_answer"): IN_MEMORY,
    ("live", "choose", "silent_connection"): IN_MEMORY,
    ("live", "send", "lost_answer"): "The answer is lost at the step answer.",
    ("live", "stream", "store_down"): NO_STORE,
    ("live", "stream", "store_slow"): NO_STORE,
    ("live", "record", "engine_crash"): NO_ENGINE,
    ("rollout", "submit", "engine_crash"): NO_ENGINE,
    ("rollout", "submit", "swap_failure"): NO_WEIGHTS,
    ("rollout", "dispatch", "engine_crash"): IN_MEMORY,
    ("rollout", "dispatch", "swap_failure"): IN_MEMORY,
    ("rollout", "dispatch", "store_down"): NO_STORE,
    ("rollout", "dispatch", "store_slow"): NO_STORE,
    ("rollout", "dispatch", "lost_answer"): IN_MEMORY,
    ("rollout", "dispatch", "silent_connection"): IN_MEMORY,
    ("rollout", "dispatch", "partition"): IN_MEMORY,
    ("rollout", "score", "engine_crash"): NO_ENGINE,
    ("rollout", "score", "swap_failure"): NO_ENGINE,
    ("rollout", "score", "store_down"): NO_STORE,
    ("rollout", "score", "store_slow"): NO_STORE,
    ("rollout", "commit", "engine_crash"): NO_ENGINE,
    ("rollout", "commit", "swap_failure"): NO_ENGINE,
    ("rollout", "hand_over", "engine_crash"): NO_ENGINE,
    ("rollout", "hand_over", "swap_failure"): NO_ENGINE,
    ("rollout", "acknowledge", "engine_crash"): NO_ENGINE,
    ("rollout", "acknowledge", "swap_failure"): NO_ENGINE,
    ("configuration", ANY, "engine_crash"): NO_ENGINE,
    ("configuration", ANY, "swap_failure"): NO_WEIGHTS,
    ("configuration", "check", "store_slow"): IN_MEMORY,
    ("configuration", "check", "lost_answer"): IN_MEMORY,
    ("configuration", "check", "paused_holder"): (
        "A change has no holder; a pause only delays the write."
    ),
    ("configuration", "check", "silent_connection"): IN_MEMORY,
    ("configuration", "check", "partition"): IN_MEMORY,
    ("configuration", "apply", "lost_answer"): IN_MEMORY,
    ("configuration", "apply", "silent_connection"): IN_MEMORY,
    ("stop", ANY, "swap_failure"): NO_WEIGHTS,
    ("stop", "hand_over", "engine_crash"): NO_ENGINE,
    ("stop", "unready", "engine_crash"): NO_ENGINE,
    ("stop", "unready", "store_down"): NO_STORE,
    ("stop", "unready", "store_slow"): NO_STORE,
    ("stop", "unready", "lost_answer"): UNANSWERED,
    ("stop", "unready", "racing_operators"): IN_MEMORY,
    ("stop", "unready", "silent_connection"): IN_MEMORY,
    ("stop", "unready", "partition"): IN_MEMORY,
    ("stop", "drain", "lost_answer"): (
        "What a drain waits for are live calls; see their step answer."
    ),
    ("stop", "drain", "silent_connection"): (
        "What a drain waits for are live calls; see their step stream."
    ),
    ("stop", "exit", "engine_crash"): NO_ENGINE,
    ("stop", "exit", "racing_operators"): IN_MEMORY,
}


class Cell(NamedTuple):
    """One fault, or pair of faults, at one step of a path.

    Attributes:
        path: The path.
        step: The step at which the fault strikes.
        fault: A fault, or several joined by `+`.
        expected: What must be seen, as the scenario's columns state it.
        scenario: The name of the scenario that brings the fault about.
        reason: Why the fault can't occur, where there is no scenario.
    """

    path: str
    step: str
    fault: str
    expected: str = ""
    scenario: str = ""
    reason: str = ""

    @property
    def covered(self) -> bool:
        """Whether a test or a reason stands for the cell."""
        return bool(self.scenario or self.reason)


def cells() -> list[Cell]:
    """Returns all cells: every fault at every step, then the pairs."""
    expected_by_name = dict(_scenarios())
    found = [
        _cell(path, step, fault, expected_by_name)
        for path, steps in PATHS.items()
        for step in steps
        for fault in FAULTS
    ]
    return found + list(_pairs(expected_by_name))


def _cell(
    path: str, step: str, fault: str, expected_by_name: dict[str, str]
) -> Cell:
    name = f"{path} {step}, {fault}"
    if name not in expected_by_name:
        name = ELSEWHERE.get((path, step, fault), "")
    if name:
        expected = expected_by_name.get(name)
        if expected is None:
            return Cell(path, step, fault)
        return Cell(path, step, fault, expected, name)
    either = (path, step, fault), (path, ANY, fault)
    reason = next((REASONS[key] for key in either if key in REASONS), "")
    return Cell(path, step, fault, reason=reason)


def _pairs(expected_by_name: dict[str, str]) -> Iterator[Cell]:
    for name, expected in expected_by_name.items():
        place, _, fault = name.partition(", ")
        path, _, step = place.partition(" ")
        if "+" in fault and step in PATHS.get(path, ()):
            yield Cell(path, step, fault, expected, name)


def _scenarios() -> Iterator[tuple[str, str]]:
    """Yields each scenario's name, and the columns of its example."""
    for path in sorted(FEATURES.rglob("*.feature")):
        for scenario in parse_file(str(path)).walk_scenarios():
            row = getattr(scenario, "_row", None)
            columns = dict(row.items()) if row else {}
            expected = ", ".join(
                f"{column} {value}"
                for column, value in columns.items()
                if column not in ("step", "fault", "case", "phase") and value
            )
            yield scenario.name.partition(" -- @")[0], expected or "as named"
