"""The order in which the samples of a job start, and when results are kept.

Load patterns: with engines to spare, a step ends with its longest sample, so
long ones start first. With too few engines for all samples by the due time,
starting all groups would end none in time, so that groups go one after the
other, the cheapest first.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = ["SampleSize", "Waiting", "commit_due", "save_due", "start_order"]

# Share of the time to the due moment that work may fill before groups are
# taken one by one. While some targets load, the others alone are counted.
SPARE_SHARE = 1.0

# A trainer that has read something pauses for half a second, so that a
# listing just before the one that completes its step delays it.
GROUP_PERIOD_S = 1.0
COMMIT_PERIOD_S = 0.2
LONGEST_HOLD_S = 2.0
COMMIT_BYTES = 400_000
# A trainer that reads a part of its step now would see the step's end half a
# second late; most steps end in this time before the due moment.
QUIET_LEAD_S = 1.6
# What is listed by then is read in time, also by a trainer that pauses.
LAST_CALL_S = 0.45
# Listed later, results are read too late in any case.
LATE_S = 0.2

# What a lost holder costs at most, against a paid call for each save.
SAVE_PERIOD_S = 0.7
SAVE_EVENTS = 60


class SampleSize(NamedTuple):
    """One sample that has not started.

    Attributes:
        place: Its place in the job.
        group: Its group.
        events: How many events are expected of it.
    """

    place: int
    group: str
    events: float


class Waiting(NamedTuple):
    """Finished results that are not in the store yet.

    Attributes:
        results: How many there are.
        size: Bytes of their texts.
        since: When the first of them was finished.
        ends_group: Whether one of them completes its group.
        ends_step: Whether they complete the groups that the trainer waits
            for.
        step_ended: Whether these groups were complete before.
        last: Whether no sample is left to wait for.
    """

    results: int
    size: int
    since: float
    ends_group: bool
    ends_step: bool
    step_ended: bool
    last: bool


def start_order(
    samples: Sequence[SampleSize], events_per_s: float, left_s: float
) -> list[int]:
    """Returns the places of samples in the order in which to start them.

    Args:
        samples: The samples that have not started.
        events_per_s: What all targets together make.
        left_s: The time to the due moment.
    """
    work = sum(sample.events for sample in samples)
    if work <= events_per_s * max(0.0, left_s) * SPARE_SHARE:
        rows = sorted(samples, key=lambda row: (-row.events, row.place))
        return [row.place for row in rows]
    work_by_group: dict[str, float] = {}
    for sample in samples:
        work_by_group[sample.group] = (
            work_by_group.get(sample.group, 0.0) + sample.events
        )
    return [row.place for row in _by_group(samples, work_by_group)]


def _by_group(
    samples: Sequence[SampleSize], work_by_group: Mapping[str, float]
) -> list[SampleSize]:
    return sorted(
        samples,
        key=lambda row: (
            work_by_group[row.group],
            row.group,
            -row.events,
            row.place,
        ),
    )


def commit_due(
    waiting: Waiting, committed_at: float, due_at: float, now: float
) -> bool:
    """Tells whether results should be listed now.

    Only whole groups are of use to a trainer, and it pauses after each
    listing that it reads.

    Args:
        waiting: The results that are not listed.
        committed_at: When results were listed last.
        due_at: When the step's results are due.
        now: The monotonic time.
    """
    if not waiting.results:
        return False
    if waiting.last or waiting.ends_step or waiting.size >= COMMIT_BYTES:
        return True
    if now - waiting.since >= LONGEST_HOLD_S:
        return True
    last_call = due_at - LAST_CALL_S
    if not waiting.step_ended and due_at - QUIET_LEAD_S <= now < last_call:
        return False
    urgent = waiting.step_ended or last_call <= now < due_at + LATE_S
    period_s = COMMIT_PERIOD_S if urgent else GROUP_PERIOD_S
    return waiting.ends_group and now - committed_at >= period_s


def save_due(new_events: int, saved_at: float, now: float) -> bool:
    """Tells whether unfinished samples should be kept for a new holder.

    Args:
        new_events: Events of long samples since the last save.
        saved_at: When that was.
        now: The monotonic time.
    """
    return new_events >= SAVE_EVENTS and now - saved_at >= SAVE_PERIOD_S
