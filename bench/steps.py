"""Reads the steps of a played day from the instances' logs."""

import re
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

__all__ = ["LogLine", "SampleRun", "Step", "read_log", "steps_of"]

_LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*)")


class LogLine(NamedTuple):
    """A log line of an instance; `at` is in seconds of the play."""

    at: float
    instance: str
    text: str
    fields: Mapping[str, Any]


class SampleRun(NamedTuple):
    """A run of a sample, in seconds of the play."""

    created_at: float
    first_event_at: float
    ended_at: float
    outcome: str


class Step:
    """What the log says of one batch job.

    Attributes:
        job: The job's id.
        model: The model.
        accepted_at: When it was accepted.
        required: How many complete groups its trainer waits for.
        group_by_item: The group of each item that ran.
        runs_by_item: The runs of each item, by the end of each.
        scored_at_by_item: When each item got its score.
        published: When how many groups were published, in this order.
        taken_over: When it was taken over, and when the holder before was
            last heard of.
        ended_at: When its trainer ended it; None if it did not.
    """

    def __init__(self, line: LogLine) -> None:
        fields = line.fields
        self.job: str = fields["job"]
        self.model: str = fields["model"]
        self.accepted_at = line.at
        self.required: int = fields["required_groups"]
        self.group_by_item: dict[str, str] = {}
        self.runs_by_item: dict[str, list[SampleRun]] = defaultdict(list)
        self.scored_at_by_item: dict[str, float] = {}
        self.published: list[tuple[float, int]] = []
        self.taken_over: list[tuple[float, float]] = []
        self.ended_at: float | None = None
        self._last_line_at = line.at

    def add(self, line: LogLine) -> None:
        """Adds a line about the job."""
        fields = line.fields
        if line.text.endswith("Run of a sample ended."):
            created_at = line.at - fields["took_s"]
            run = SampleRun(
                created_at,
                created_at + fields["first_event_s"],
                line.at,
                fields["end"],
            )
            self.group_by_item[fields["request_id"]] = fields["group"]
            self.runs_by_item[fields["request_id"]].append(run)
        elif line.text.endswith("Results published."):
            self.published.append((line.at, fields["complete_groups"]))
        elif line.text.endswith("Job taken over."):
            self.taken_over.append((self._last_line_at, line.at))
        elif line.text.endswith("Job ended."):
            self.ended_at = self.ended_at or line.at
        else:
            return
        self._last_line_at = line.at

    def groups_published_by(self, at: float) -> int:
        """Returns how many groups were published by a time."""
        return max((n for when, n in self.published if when <= at), default=0)

    @property
    def complete_at(self) -> float | None:
        """When the required groups were published, if they were."""
        times = [at for at, groups in self.published if groups >= self.required]
        return min(times, default=None)


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Returns the structured lines of a play's output."""
    found = []
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match[3])
        except msgspec.DecodeError:
            continue
        text = fields.pop("message", "")
        found.append(LogLine(float(match[1]), match[2], text, fields))
    return found


def steps_of(log: Sequence[LogLine]) -> list[Step]:
    """Returns the accepted jobs, in the order of their acceptance."""
    step_by_job: dict[str, Step] = {}
    step_by_item: dict[str, Step] = {}
    for line in log:
        job = line.fields.get("job")
        if line.text.endswith("Job accepted.") and job not in step_by_job:
            step_by_job[str(job)] = Step(line)
        elif job in step_by_job:
            step = step_by_job[str(job)]
            step.add(line)
            step_by_item[str(line.fields.get("request_id"))] = step
        elif line.fields.get("outcome") == "scored":
            item = line.fields["request_id"]
            if item in step_by_item:
                scored = step_by_item[item].scored_at_by_item
                scored.setdefault(item, line.at)
    return list(step_by_job.values())
