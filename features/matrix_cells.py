"""The fault matrix: the steps of each path, the faults, and their coverage.

A cell is covered by the scenario `PATH STEP, FAULT` of `features/matrix`, by
a scenario of another feature listed in `SCENARIOS_ELSEWHERE`, or by a reason
in `EXCLUSION_REASONS` why the fault can't occur at the step. `build_cells`
combines them.
"""

import pathlib
from collections.abc import Iterator
from typing import NamedTuple

from behave.parser import parse_file

__all__ = ["FAULTS", "STEPS_BY_PATH", "Cell", "build_cells"]

FEATURES_FOLDER = pathlib.Path(__file__).parent

STEPS_BY_PATH: dict[str, tuple[str, ...]] = {
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
ANY_STEP = "*"

SCENARIOS_ELSEWHERE: dict[tuple[str, str, str], str] = {
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
NO_WEIGHTS = (
    "Weights are not involved: an engine that fails to swap still serves."
)
NO_STORE = "The step does not call the store."
IN_MEMORY = "The step is an in-memory decision; it sends no message."
NO_RESPONSE = "The step sends no message that has a response."

EXCLUSION_REASONS: dict[tuple[str, str, str], str] = {
    ("live", ANY_STEP, "swap_failure"): NO_WEIGHTS,
    ("live", "accept", "lost_answer"): NO_RESPONSE,
    ("live", "claim", "engine_crash"): NO_ENGINE,
    ("live", "choose", "lost_answer"): IN_MEMORY,
    ("live", "choose", "silent_connection"): IN_MEMORY,
    (
        "live",
        "send",
        "lost_answer",
    ): "See step `answer`, at which the response is lost.",
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
    ("configuration", ANY_STEP, "engine_crash"): NO_ENGINE,
    ("configuration", ANY_STEP, "swap_failure"): NO_WEIGHTS,
    ("configuration", "check", "store_slow"): IN_MEMORY,
    ("configuration", "check", "lost_answer"): IN_MEMORY,
    ("configuration", "check", "paused_holder"): (
        "A configuration change has no holder; a pause only delays the write."
    ),
    ("configuration", "check", "silent_connection"): IN_MEMORY,
    ("configuration", "check", "partition"): IN_MEMORY,
    ("configuration", "apply", "lost_answer"): IN_MEMORY,
    ("configuration", "apply", "silent_connection"): IN_MEMORY,
    ("stop", ANY_STEP, "swap_failure"): NO_WEIGHTS,
    ("stop", "hand_over", "engine_crash"): NO_ENGINE,
    ("stop", "unready", "engine_crash"): NO_ENGINE,
    ("stop", "unready", "store_down"): NO_STORE,
    ("stop", "unready", "store_slow"): NO_STORE,
    ("stop", "unready", "lost_answer"): NO_RESPONSE,
    ("stop", "unready", "racing_operators"): IN_MEMORY,
    ("stop", "unready", "silent_connection"): IN_MEMORY,
    ("stop", "unready", "partition"): IN_MEMORY,
    ("stop", "drain", "lost_answer"): (
        "A drain waits for live calls; see step `answer` of path `live`."
    ),
    ("stop", "drain", "silent_connection"): (
        "A drain waits for live calls; see step `stream` of path `live`."
    ),
    ("stop", "exit", "engine_crash"): NO_ENGINE,
    ("stop", "exit", "racing_operators"): IN_MEMORY,
}


class Cell(NamedTuple):
    """One fault, or pair of faults, at one step of a path.

    Attributes:
        path: A key of `STEPS_BY_PATH`.
        step: The step at which the fault occurs.
        fault: One of `FAULTS`, or several joined by `+`.
        expected: The expected result, from the scenario's table columns.
        scenario: The name of the scenario that injects the fault.
        reason: Why the fault can't occur, if there is no scenario.
    """

    path: str
    step: str
    fault: str
    expected: str = ""
    scenario: str = ""
    reason: str = ""

    @property
    def covered(self) -> bool:
        """Whether the cell has a scenario or a reason."""
        return bool(self.scenario or self.reason)


def build_cells() -> list[Cell]:
    """Returns a cell for every fault at every step, then the fault pairs."""
    expected_by_name = dict(_expected_by_scenario())
    single_faults = [
        _build_cell(path, step, fault, expected_by_name)
        for path, steps in STEPS_BY_PATH.items()
        for step in steps
        for fault in FAULTS
    ]
    return single_faults + list(_fault_pairs(expected_by_name))


def _build_cell(
    path: str, step: str, fault: str, expected_by_name: dict[str, str]
) -> Cell:
    name = f"{path} {step}, {fault}"
    if name not in expected_by_name:
        name = SCENARIOS_ELSEWHERE.get((path, step, fault), "")
    if name:
        expected = expected_by_name.get(name)
        if expected is None:
            return Cell(path, step, fault)
        return Cell(path, step, fault, expected, name)
    keys = (path, step, fault), (path, ANY_STEP, fault)
    reason = next(
        (EXCLUSION_REASONS[key] for key in keys if key in EXCLUSION_REASONS), ""
    )
    return Cell(path, step, fault, reason=reason)


def _fault_pairs(expected_by_name: dict[str, str]) -> Iterator[Cell]:
    for name, expected in expected_by_name.items():
        location, _, fault = name.partition(", ")
        path, _, step = location.partition(" ")
        if "+" in fault and step in STEPS_BY_PATH.get(path, ()):
            yield Cell(path, step, fault, expected, name)


def _expected_by_scenario() -> Iterator[tuple[str, str]]:
    """Yields each scenario's name and its expected result.

    The result lists the columns of the scenario's example row that don't name
    the case. A scenario without such columns has the result `as named`.
    """
    for path in sorted(FEATURES_FOLDER.rglob("*.feature")):
        for scenario in parse_file(str(path)).walk_scenarios():
            row = getattr(scenario, "_row", None)
            columns = dict(row.items()) if row else {}
            expected = ", ".join(
                f"{column} {value}"
                for column, value in columns.items()
                if column not in ("step", "fault", "case", "phase") and value
            )
            yield scenario.name.partition(" -- @")[0], expected or "as named"
