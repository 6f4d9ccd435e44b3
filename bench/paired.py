"""Compares two trees of the project by plays with equal days and seeds.

The trees are played by turns, and the differences are taken pair by pair, so
that the luck of a day and slow drifts of the machine count for both. Run it
with `python -m bench.paired --bench PROGRAM --site FILE --before FOLDER
--after FOLDER --days trouble-1 --seeds 1 2 3`; without `--before`, only one
tree is played.
"""

import argparse
import math
import pathlib
import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from bench.plays import Play, PlayResult, play_all

__all__ = ["Difference", "difference", "loss_table", "main", "pair_table"]

# Differences of fewer standard errors than this are not told from chance.
CLEAR_STANDARD_ERRORS = 2.0
MIN_LISTED_LOSS = 0.0005
STANDARD_DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")


class Difference(NamedTuple):
    """The mean difference of pairs.

    Attributes:
        mean: The mean of after minus before.
        standard_error: The standard error of the mean; infinite for one pair.
        pairs: The number of pairs.
    """

    mean: float
    standard_error: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether chance alone is an unlikely reason."""
        return abs(self.mean) >= CLEAR_STANDARD_ERRORS * self.standard_error


def difference(before: Sequence[float], after: Sequence[float]) -> Difference:
    """Returns the mean difference of values that belong together by position.

    Raises:
        ValueError: There are no pairs, or the numbers of values differ.
    """
    changes = [b - a for a, b in zip(before, after, strict=True)]
    if not changes:
        raise ValueError("there are no pairs to compare")
    error = math.inf
    if len(changes) > 1:
        error = statistics.stdev(changes) / math.sqrt(len(changes))
    return Difference(statistics.fmean(changes), error, len(changes))


def pair_table(
    before: Sequence[PlayResult], after: Sequence[PlayResult]
) -> list[str]:
    """Returns the lines of a table with one pair a row, and the conclusion."""
    lines = [
        "| day | seed | before | after | journal |",
        "|---|---|---|---|---|",
    ]
    for first, second in zip(before, after, strict=True):
        broken = " ".join(sorted({*first.broken_rules, *second.broken_rules}))
        lines.append(
            f"| {first.play.day} | {first.play.seed} | {first.worth:.3f} | "
            f"{second.worth:.3f} | {first.entry} {second.entry} {broken} |"
        )
    value_by_name: dict[str, Callable[[PlayResult], float]] = {
        "worth": lambda played: played.worth,
        "groups on time": lambda played: played.steps.groups_on_time,
        "seconds a step": lambda played: played.steps.mean_s,
    }
    for name, value in value_by_name.items():
        found = difference(
            [value(played) for played in before],
            [value(played) for played in after],
        )
        verdict = "seen" if found.is_clear else "not seen"
        lines.append(
            f"{name}: mean difference {found.mean:+.4f}, standard error "
            f"{found.standard_error:.4f}, {found.pairs} pairs: {verdict}"
        )
    return lines


def loss_table(results: Sequence[PlayResult]) -> list[str]:
    """Returns the lines of a table of what is missing to 1.0, mean of plays."""
    totals: dict[str, float] = defaultdict(float)
    for result in results:
        for loss in result.losses:
            totals[loss.name] += loss.worth / len(results)
    lines = ["| lost by | worth |", "|---|---|"]
    rest = 0.0
    for name, worth in sorted(totals.items(), key=lambda row: -row[1]):
        if abs(worth) < MIN_LISTED_LOSS:
            rest += worth
        else:
            lines.append(f"| {name} | {worth:.4f} |")
    missing = 1.0 - statistics.fmean(result.worth for result in results)
    lines += [
        f"| smaller ones | {rest:.4f} |",
        f"| sum | {sum(totals.values()):.4f} |",
        f"| missing to 1.0 | {missing:.4f} |",
    ]
    return lines


def _print_tree(results: Sequence[PlayResult]) -> None:
    for result in results:
        print(
            f"{result.play.day} {result.play.seed} {result.worth:.3f} "
            f"{result.steps.groups_on_time} {result.steps.mean_s:.2f} s "
            f"{result.entry} {dict(result.broken_rules) or ''}"
        )
    mean = statistics.fmean(result.worth for result in results)
    mean_s = statistics.fmean(result.steps.mean_s for result in results)
    groups = statistics.fmean(r.steps.groups_on_time for r in results)
    print(
        f"mean {mean:.4f} of {len(results)} plays; {groups:.1f} groups on "
        f"time a play, {mean_s:.2f} s a step"
    )


def main() -> None:
    """Plays one tree or two, and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--site", type=pathlib.Path, required=True)
    parser.add_argument("--before", type=pathlib.Path)
    parser.add_argument("--after", type=pathlib.Path, required=True)
    parser.add_argument("--days", nargs="+", default=STANDARD_DAYS)
    parser.add_argument("--seeds", nargs="+", type=int, required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--why", default="Paired plays")
    args = parser.parse_args()
    trees = [tree for tree in (args.before, args.after) if tree is not None]
    days = [
        Play(tree.resolve(), args.site.resolve(), day, seed)
        for day in args.days
        for seed in args.seeds
        for tree in trees
    ]
    results = play_all(args.bench.resolve(), days, args.why, args.jobs)
    results_by_tree = [results[n :: len(trees)] for n in range(len(trees))]
    if len(trees) > 1:
        print("\n".join(pair_table(*results_by_tree)))
    for played in results_by_tree:
        print()
        _print_tree(played)
        print("\n".join(loss_table(played)))


if __name__ == "__main__":
    main()
