"""Plays days of the users' bench and reads what it measured.

The bench writes an entry into the journal of the tree that it plays; this
module decodes the entry into the project's own terms. Plays of one tree may
run at the same time.
"""

import pathlib
import subprocess
import uuid
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import msgspec

__all__ = ["Loss", "PlayError", "Play", "PlayResult", "play", "play_all"]

JOURNAL_FOLDER = "journal"
PLAY_TIMEOUT_S = 900.0


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


class PlayResult(NamedTuple):
    """What the bench measured in one play.

    Attributes:
        play: The play.
        entry: The id of its entry in the journal.
        worth: The worth; 1.0 is the most.
        losses: What is missing to 1.0, by cause.
        broken_rules: How often each rule was broken, by name.
    """

    play: Play
    entry: str
    worth: float
    losses: tuple[Loss, ...]
    broken_rules: Mapping[str, int]


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
    command = [
        str(bench),
        "run",
        str(day.site),
        day.day,
        "--seed",
        str(day.seed),
        "--no-cpu",
        "--why",
        label,
    ]
    ended = subprocess.run(
        command,
        cwd=day.tree,
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT_S,
        check=False,
    )
    for path in sorted((day.tree / JOURNAL_FOLDER).glob("*.json")):
        text = path.read_text()
        if label in text:
            return _decode(day, msgspec.json.decode(text))
    raise PlayError(
        f"{day.day} with seed {day.seed} left no journal entry; exit code "
        f"{ended.returncode}: {ended.stdout[-300:]}{ended.stderr[-300:]}"
    )


def play_all(
    bench: pathlib.Path, days: Sequence[Play], why: str, jobs: int
) -> list[PlayResult]:
    """Plays days, `jobs` at a time; see `play`."""
    with ThreadPoolExecutor(jobs) as executor:
        return list(executor.map(lambda day: play(bench, day, why), days))


def _decode(day: Play, entry: Mapping[str, Any]) -> PlayResult:
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
    )
