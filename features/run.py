"""Runs features, by default all; the last line is `N passed, N failed`.

The failing step of each failed scenario is printed with its error message,
its traceback and the ends of the logs of the processes that it ran against.

Scenarios listed in KNOWN-RED.txt may fail: they are run, and their failures
are printed and counted separately. A listed scenario that passes again fails
the run until its entry is removed.
"""

import pathlib
import sys
from typing import Any

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

from features.failures import describe_failures

__all__ = ["main", "read_known_red", "split_failures"]

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> frozenset[str]:
    """Returns the names of the scenarios that are known to fail."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def split_failures(
    passed: list[str], failed: list[str], known_red: frozenset[str]
) -> tuple[list[str], list[str]]:
    """Returns the known failures, and the names that fail the run.

    A known failure that passes counts among the names that fail the run.
    """
    known = [name for name in failed if name in known_red]
    unexpected = [name for name in failed if name not in known_red]
    fixed = [name for name in passed if name in known_red]
    return known, unexpected + [f"{name} (passes; remove it)" for name in fixed]


def main(argv: list[str]) -> int:
    """Runs behave; returns 1 on an unexpected result or if nothing passed."""
    config = Configuration(
        ["--no-capture", "--format=progress", *(argv or ["features"])]
    )
    runner = Runner(config)
    run_failed = runner.run()
    scenarios = [s for f in runner.features for s in f.walk_scenarios()]
    not_run = (Status.skipped, Status.untested)
    passed = [_outline_name(s) for s in scenarios if s.status == Status.passed]
    failed = [
        _outline_name(s)
        for s in scenarios
        if s.status != Status.passed and s.status not in not_run
    ]
    for description in describe_failures(runner.features):
        print(f"{description}\n")
    known, unexpected = split_failures(passed, failed, read_known_red())
    for name in known:
        print(f"known red: {name}")
    if known:
        print(f"{len(known)} known red")
    for name in unexpected:
        print(f"failed: {name}")
    hook_failed = run_failed and not failed
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or hook_failed or not passed else 0


def _outline_name(scenario: Any) -> str:
    return str(scenario.name).partition(" -- @")[0].strip()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
