"""The start order of a job's samples, and when to write its results.

Load patterns: with spare engines, a step ends with its longest sample, so
long samples start first. With too few engines to complete all samples by the
due time, starting all groups would complete none of them in time, so groups
are run one after the other, those with the least work first.

Load pattern: holders of a job are killed one after the other while a few of its
items fail at each run. These items have few events, so no save of events is due
for them, and each holder would count their errors anew.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "SampleSize",
    "UnpublishedResults",
    "failures_due",
    "publish_due",
    "save_due",
    "start_order",
]

# The share of the time until the due time that the remaining work may fill
# before groups are run one after the other. Targets that are loading weights
# are not counted.
MAX_WORK_SHARE = 1.0

# A trainer pauses for half a second after each read that returned results, so
# publishing just before the results that complete its step delays the trainer.
PUBLISH_PERIOD_S = 1.0
URGENT_PUBLISH_PERIOD_S = 0.2
MAX_PUBLISH_DELAY_S = 2.0
MAX_PUBLISH_BYTES = 400_000
# Most steps end in this interval before the due time. A trainer that reads
# part of its step during the interval would see the end of the step half a
# second late.
QUIET_PERIOD_LEAD_S = 1.6
# Results published this long before the due time are read in time, even if
# the trainer is pausing.
FINAL_PUBLISH_LEAD_S = 0.45
# Results published later than this after the due time are read too late in
# any case.
FINAL_PUBLISH_GRACE_S = 0.2

# Each save is a paid store call; these limits balance its cost against the
# events that are lost if a holder fails.
SAVE_PERIOD_S = 0.7
MIN_SAVE_EVENTS = 60
# Most samples are scored and published sooner than this. A complete text that
# waits longer, as while its scoring service is down, is saved by itself.
MAX_UNSAVED_TEXT_S = 1.0
# Failed samples wait for their record. One record has all failures of a period,
# as of an engine that fails each run.
FAILURES_PERIOD_S = 0.1


class SampleSize(NamedTuple):
    """The expected size of a sample that has not started.

    Attributes:
        sample_index: Its index in the job.
        group: Its group.
        events: The expected number of events.
    """

    sample_index: int
    group: str
    events: float


class UnpublishedResults(NamedTuple):
    """Finished results that are not published yet.

    Attributes:
        result_count: The number of results.
        size_bytes: The total size of their texts.
        oldest_at: When the first of them was finished.
        completes_group: Whether they complete a group.
        completes_step: Whether they complete the groups that the trainer
            waits for.
        step_completed: Whether those groups had been completed before.
        last: Whether no sample of the job is unfinished.
    """

    result_count: int
    size_bytes: int
    oldest_at: float
    completes_group: bool
    completes_step: bool
    step_completed: bool
    last: bool


def start_order(
    samples: Sequence[SampleSize], events_per_s: float, remaining_s: float
) -> list[int]:
    """Returns the indexes of samples in the order in which to start them.

    Args:
        samples: The samples that have not started.
        events_per_s: How many events all targets together generate per
            second.
        remaining_s: The time until the due time.
    """
    work = sum(sample.events for sample in samples)
    if work <= events_per_s * max(0.0, remaining_s) * MAX_WORK_SHARE:
        longest_first = sorted(
            samples, key=lambda sample: (-sample.events, sample.sample_index)
        )
        return [sample.sample_index for sample in longest_first]
    work_by_group: dict[str, float] = {}
    for sample in samples:
        work_by_group[sample.group] = (
            work_by_group.get(sample.group, 0.0) + sample.events
        )
    return [
        sample.sample_index
        for sample in _sorted_by_group(samples, work_by_group)
    ]


def _sorted_by_group(
    samples: Sequence[SampleSize], work_by_group: Mapping[str, float]
) -> list[SampleSize]:
    return sorted(
        samples,
        key=lambda sample: (
            work_by_group[sample.group],
            sample.group,
            -sample.events,
            sample.sample_index,
        ),
    )


def publish_due(
    unpublished: UnpublishedResults,
    published_at: float,
    due_at: float,
    now: float,
) -> bool:
    """Tells whether to publish results now.

    A trainer can only use complete groups, and pauses after each read that
    returned results.

    Args:
        unpublished: The results that are not published yet.
        published_at: When results were last published.
        due_at: When the step's results are due.
        now: The monotonic time.
    """
    if not unpublished.result_count:
        return False
    if (
        unpublished.last
        or unpublished.completes_step
        or unpublished.size_bytes >= MAX_PUBLISH_BYTES
    ):
        return True
    if now - unpublished.oldest_at >= MAX_PUBLISH_DELAY_S:
        return True
    final_publish_at = due_at - FINAL_PUBLISH_LEAD_S
    if (
        not unpublished.step_completed
        and due_at - QUIET_PERIOD_LEAD_S <= now < final_publish_at
    ):
        return False
    urgent = (
        unpublished.step_completed
        or final_publish_at <= now < due_at + FINAL_PUBLISH_GRACE_S
    )
    period_s = URGENT_PUBLISH_PERIOD_S if urgent else PUBLISH_PERIOD_S
    return unpublished.completes_group and now - published_at >= period_s


def save_due(
    new_events: int, oldest_text_at: float, saved_at: float, now: float
) -> bool:
    """Tells whether to save unfinished samples for a possible new holder.

    Args:
        new_events: Number of events and scores since the last save.
        oldest_text_at: When the oldest unsaved text that waits for its score
            was completed; infinity if there is none.
        saved_at: When samples were last saved.
        now: The monotonic time.
    """
    if now - saved_at < SAVE_PERIOD_S:
        return False
    overdue = now - oldest_text_at >= MAX_UNSAVED_TEXT_S
    return overdue or new_events >= MIN_SAVE_EVENTS


def failures_due(unrecorded: int, recorded_at: float, now: float) -> bool:
    """Tells whether to record failures of samples for a possible new holder.

    Args:
        unrecorded: The number of samples whose last failure is not on record.
        recorded_at: When failures were last recorded.
        now: The monotonic time.
    """
    return unrecorded > 0 and now - recorded_at >= FAILURES_PERIOD_S
