"""Shows what the worth of one play was lost by.

Reads the log and the report of a play, and follows in each step that was late
the sample that completed the last group that the trainer waited for. Run it
with `python -m bench.causes --bench PROGRAM --site FILE --tree FOLDER --day
trouble-1 --seed 1`.
"""

import argparse
import pathlib
import statistics
import tempfile
import tomllib
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from bench.plays import Play, run_bench
from bench.steps import Step, read_log, steps_of

__all__ = [
    "Interval",
    "causes_of",
    "lost_groups_by_cause",
    "main",
    "worth_by_cause",
]

# Results count as on time this long after they are due.
DUE_GRACE_S = 0.7


class Interval(NamedTuple):
    """A part of the life of a sample, and what it was spent on."""

    cause: str
    start: float
    end: float


def causes_of(step: Step, until: float) -> list[Interval]:
    """Returns what the step's last required group waited for.

    Args:
        step: The step.
        until: When the trainer stopped waiting.
    """
    item = _critical_item(step)
    if item is None:
        return [Interval("no run", step.accepted_at, until)]
    ends = min(until, step.complete_at or until)
    intervals = []
    at = step.accepted_at
    for run in step.runs_by_item[item]:
        intervals += _waiting(step, at, run.created_at)
        intervals.append(
            Interval("engine queue", run.created_at, run.first_event_at)
        )
        whole = run.outcome == "WHOLE"
        cause = "run" if whole else f"run ended {run.outcome.lower()}"
        intervals.append(Interval(cause, run.first_event_at, run.ended_at))
        at = run.ended_at
    last_whole = step.runs_by_item[item][-1].outcome == "WHOLE"
    scored_at = step.scored_at_by_item.get(item)
    if not last_whole:
        intervals += _waiting(step, at, ends)
    elif scored_at is None:
        intervals.append(Interval("scoring", at, ends))
    else:
        intervals.append(Interval("scoring", at, scored_at))
        intervals.append(Interval("publication", scored_at, ends))
    return [
        row._replace(end=min(row.end, ends))
        for row in intervals
        if row.start < min(row.end, ends)
    ]


def _waiting(step: Step, start: float, end: float) -> list[Interval]:
    """Splits a wait for an engine where the holder was lost meanwhile."""
    for lost_at, taken_at in step.taken_over:
        if start <= taken_at <= end:
            lost_from = max(start, min(lost_at, taken_at))
            return [
                Interval("slot", start, lost_from),
                Interval("holder lost", lost_from, taken_at),
                Interval("slot", taken_at, end),
            ]
    return [Interval("slot", start, end)]


def _critical_item(step: Step) -> str | None:
    """Returns the item that completed the last required group.

    Returns:
        None if too few groups ever had a run.
    """
    end_by_item = {
        item: step.scored_at_by_item.get(item, runs[-1].ended_at)
        for item, runs in step.runs_by_item.items()
    }
    last_by_group: dict[str, str] = {}
    for item, end in end_by_item.items():
        group = step.group_by_item[item]
        last = last_by_group.get(group)
        if last is None or end > end_by_item[last]:
            last_by_group[group] = item
    ranked = sorted(last_by_group.values(), key=lambda i: end_by_item[i])
    return ranked[step.required - 1] if len(ranked) >= step.required else None


def lost_groups_by_cause(
    steps: Sequence[Step], due_s: float, timeout_s: float, late_share: float
) -> dict[str, float]:
    """Returns the credit that was lost, in groups, by cause.

    Args:
        steps: The steps.
        due_s: The time after which results are late.
        timeout_s: The time after which the trainer stops waiting.
        late_share: The credit of a late group, as a share of one in time.
    """
    lost: dict[str, float] = defaultdict(float)
    for step in steps:
        in_time = step.groups_published_by(
            step.accepted_at + due_s + DUE_GRACE_S
        )
        late = step.groups_published_by(step.accepted_at + timeout_s)
        in_time, late = min(in_time, step.required), min(late, step.required)
        groups = (late - in_time) * (1 - late_share) + step.required - late
        if not groups:
            continue
        intervals = causes_of(step, step.accepted_at + timeout_s)
        total = sum(row.end - row.start for row in intervals)
        for row in intervals:
            lost[row.cause] += groups * (row.end - row.start) / total
    required_by_model: dict[str, list[int]] = defaultdict(list)
    for step in steps:
        required_by_model[step.model].append(step.required)
    most = max(map(len, required_by_model.values()), default=0)
    for required in required_by_model.values():
        never_asked = most - len(required)
        if never_asked:
            lost["trainer behind"] += never_asked * statistics.mean(required)
    return dict(lost)


def worth_by_cause(
    report: Mapping[str, Any],
    classes: Sequence[Mapping[str, Any]],
    lost_groups: Mapping[str, float],
) -> dict[str, float]:
    """Returns what is missing to 1.0 by cause; the sum is 1.0 less the worth.

    Args:
        report: The bench's report of the play.
        classes: The kinds of request in the site file.
        lost_groups: The lost credit of steps by cause, in groups.
    """
    credit_by_class = {row["name"]: row["worth"] for row in classes}
    step_classes = {row["name"] for row in classes if "lot" in row}
    lost_calls = lost_steps = 0.0
    for row in report["classes"]:
        missing = row["n"] * (1 - row["worth"]) * credit_by_class[row["name"]]
        if row["name"] in step_classes:
            lost_steps += missing
        else:
            lost_calls += missing
    goals = sum(weight * (1 - share) for _, weight, share in report["parts"])
    lost = max(lost_calls + lost_steps, 1e-9)
    worth: dict[str, float] = {"calls": goals * lost_calls / lost}
    total = sum(lost_groups.values())
    for cause, groups in lost_groups.items():
        worth[f"steps: {cause}"] = goals * lost_steps / lost * groups / total
    if not total:
        worth["steps: cause not in the log"] = goals * lost_steps / lost
    for name, _, price in report["prices"]:
        if price:
            worth[f"price: {name}"] = price
    return worth


def _step_table(steps: Sequence[Step], timeout_s: float) -> Iterable[str]:
    for step in steps:
        complete_s = (step.complete_at or float("inf")) - step.accepted_at
        seconds: dict[str, float] = defaultdict(float)
        for row in causes_of(step, step.accepted_at + timeout_s):
            seconds[row.cause] += row.end - row.start
        parts = ", ".join(f"{k} {v:.1f}" for k, v in seconds.items())
        yield (
            f"{step.accepted_at:6.1f} {step.job[:6]} {step.model[:4]} "
            f"complete after {complete_s:.1f} s: {parts}"
        )


def main() -> None:
    """Plays a day and prints its steps and the table of causes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--site", type=pathlib.Path, required=True)
    parser.add_argument("--tree", type=pathlib.Path, required=True)
    parser.add_argument("--day", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--log", type=pathlib.Path, help="Where to keep it.")
    args = parser.parse_args()
    classes = tomllib.loads(args.site.read_text())["classes"]
    step_class = next(row for row in classes if "lot" in row)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        day = Play(args.tree, args.site, args.day, args.seed)
        ended = run_bench(args.bench, day, "What binds", "--report", str(path))
        ended.check_returncode()
        output = ended.stdout
        report = msgspec.json.decode(path.read_bytes())
    if args.log:
        args.log.write_text(output)
    steps = steps_of(read_log(output.splitlines()))
    timeout_s = step_class["deadline_ms"] / 1000
    lost = lost_groups_by_cause(
        steps,
        step_class["lot"]["run_aim_ms"] / 1000,
        timeout_s,
        step_class["late_worth"] / step_class["worth"],
    )
    print("\n".join(_step_table(steps, timeout_s)))
    worth = worth_by_cause(report, classes, lost)
    print("| lost by | worth |\n|---|---|")
    for cause, value in sorted(worth.items(), key=lambda row: -row[1]):
        print(f"| {cause} | {value:.4f} |")
    print(f"| sum | {sum(worth.values()):.4f} |")
    print(f"| missing to 1.0 | {1 - report['G']:.4f} |")


if __name__ == "__main__":
    main()
