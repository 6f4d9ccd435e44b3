"""Plays days of the users' bench and reads what it measured.

The bench writes an entry into the journal of the tree that it plays; this
module decodes the entry into the project's own terms. Plays of one tree may
run at the same time.
"""

import pathlib
import statistics
import subprocess
import uuid
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import msgspec

from bench.steps import Step, read_log, steps_of

__all__ = [
    "Loss",
    "PlayError",
    "Play",
    "PlayResult",
    "StepTimes",
    "play",
    "play_all",
    "run_bench",
]

JOURNAL_FOLDER = "journal"
PLAY_TIMEOUT_S = 900.0
# The trainers of all deployments wait this long for a step, and results that
# are read as late as this count as on time.
STEP_TIMEOUT_S = 12.0
STEP_ON_TIME_S = 8.2


class PlayError(Exception):
    """A play left no figures, for example since the day was given up."""


class Play(NamedTuple):
    """One day to play.

    Attributes:
        tree: The folder of the project's tree to play.
        site: The path of the deployment's site file.
        day: The name of the day, or the path of a day file.
        seed: The seed.
    """

    tree: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int


class Loss(NamedTuple):
    """A part of the worth that is missing to 1.0.

    Attributes:
        name: What it was lost by: a part of the goal that was not reached, or
            a price.
        worth: How much was lost.
        amount: What was counted: the reached share of a part of the goal, or
            the priced amount.
    """

    name: str
    worth: float
    amount: float


class StepTimes(NamedTuple):
    """How soon steps were complete; it varies less than the worth.

    Attributes:
        mean_s: The mean time from the acceptance of a step until its trainer
            ended it.
        groups_on_time: How many of the groups that the trainers waited for
            were published on time.
    """

    mean_s: float
    groups_on_time: int

    @classmethod
    def from_steps(cls, steps: Sequence[Step]) -> "StepTimes":
        """Returns the times of a play's steps."""
        ends = [s.ended_at or s.accepted_at + STEP_TIMEOUT_S for s in steps]
        times = [
            min(STEP_TIMEOUT_S, end - step.accepted_at)
            for step, end in zip(steps, ends, strict=True)
        ]
        on_time = [
            min(
                s.required,
                s.groups_published_by(s.accepted_at + STEP_ON_TIME_S),
            )
            for s in steps
        ]
        return cls(statistics.fmean(times) if times else 0.0, sum(on_time))


class PlayResult(NamedTuple):
    """What the bench measured in one play.

    Attributes:
        play: The play.
        entry: The id of its entry in the journal.
        worth: The worth; 1.0 is the most.
        losses: What is missing to 1.0, by cause.
        broken_rules: How often each rule was broken, by name.
        steps: How soon the steps were complete.
    """

    play: Play
    entry: str
    worth: float
    losses: tuple[Loss, ...]
    broken_rules: Mapping[str, int]
    steps: StepTimes


def run_bench(
    bench: pathlib.Path, day: Play, why: str, *options: str
) -> subprocess.CompletedProcess[str]:
    """Plays one day without counting processor time; returns its output.

    Args:
        bench: The path of the bench's program.
        day: The day to play.
        why: The reason, for the journal.
        *options: Further options of the bench.
    """
    command = [str(bench), "run", str(day.site), day.day]
    command += ["--seed", str(day.seed), "--no-cpu", "--log", "all"]
    return subprocess.run(
        [*command, "--why", why, *options],
        cwd=day.tree,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=PLAY_TIMEOUT_S,
        check=False,
    )


def play(bench: pathlib.Path, day: Play, why: str) -> PlayResult:
    """Plays one day without counting processor time.

    Args:
        bench: The path of the bench's program.
        day: The day to play.
        why: The reason, for the journal.

    Raises:
        PlayError: The play left no figures.
    """
    label = f"{why} ({uuid.uuid4().hex[:12]})"
    ended = run_bench(bench, day, label)
    for path in sorted((day.tree / JOURNAL_FOLDER).glob("*.json")):
        text = path.read_text()
        if label in text:
            steps = steps_of(read_log(ended.stdout.splitlines()))
            entry = msgspec.json.decode(text)
            return _decode(day, entry, StepTimes.from_steps(steps))
    raise PlayError(
        f"{day.day} with seed {day.seed} left no journal entry; exit code "
        f"{ended.returncode}: {ended.stdout[-600:]}"
    )


def play_all(
    bench: pathlib.Path, days: Sequence[Play], why: str, jobs: int
) -> list[PlayResult]:
    """Plays days, `jobs` at a time; see `play`."""
    with ThreadPoolExecutor(jobs) as executor:
        return list(executor.map(lambda day: play(bench, day, why), days))


def _decode(
    day: Play, entry: Mapping[str, Any], steps: StepTimes
) -> PlayResult:
    if not entry["days"]:
        raise PlayError(
            f"{day.day} with seed {day.seed}: journal entry {entry['id']} has "
            f"no figures: {entry['error']}"
        )
    # `G` is the worth; the prices are already in units of worth.
    figures = entry["days"][0]
    goals = [
        Loss(name, weight * (1.0 - reached), reached)
        for name, weight, reached in figures["parts"]
    ]
    prices = [
        Loss(name, worth, amount) for name, amount, worth in figures["prices"]
    ]
    return PlayResult(
        day,
        entry["id"],
        figures["G"],
        tuple(loss for loss in goals + prices if loss.worth),
        figures["rules"],
        steps,
    )
