"""The order in which the samples of a job start, and when results are kept.

Load patterns: with engines to spare, a step ends with its longest sample, so
long ones start first. With too few engines for all samples by the due time,
starting all groups would end none in time, so that groups go one after the
other, the cheapest first.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = ["SampleSize", "Waiting", "commit_due", "start_order"]

# Share of the time to the due moment that work may fill before groups are
# taken one by one; the rest is for late starts and slow targets.
SPARE_SHARE = 0.6

# A reader asks twice a second; half of that period adds little to its wait.
COMMIT_PERIOD_S = 0.2
LONGEST_HOLD_S = 0.5
COMMIT_BYTES = 400_000


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
        last: Whether no sample is left to wait for.
    """

    results: int
    size: int
    since: float
    ends_group: bool
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


def commit_due(waiting: Waiting, committed_at: float, now: float) -> bool:
    """Tells whether results should be written now.

    Only whole groups are of use to a trainer, so that single results wait
    for company; each write is a paid call.
    """
    if not waiting.results:
        return False
    if waiting.last or waiting.size >= COMMIT_BYTES:
        return True
    if now - waiting.since >= LONGEST_HOLD_S:
        return True
    return waiting.ends_group and now - committed_at >= COMMIT_PERIOD_S
