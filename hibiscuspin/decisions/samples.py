"""Decisions on the runs of a sample: restart, urgency and moves.

A run appends events to a sample, and the next run continues after the last
event. If an engine fails or refuses a run, the sample is run elsewhere.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from hibiscuspin.decisions.software import Software, may_continue

__all__ = [
    "RunOutcome",
    "SampleEvent",
    "NextAction",
    "RunningSample",
    "after_run",
    "remaining_events",
    "reusable_events",
    "samples_to_move",
    "software_of",
    "urgency",
    "distinct_versions",
]

# A target slower than the fastest by this factor costs more time than
# processing the prompt again after a move.
SLOW_FACTOR = 1.8
# With fewer events remaining, a move costs more than it saves.
MIN_REMAINING_EVENTS = 6
# Sample lengths have a heavy tail: most samples that exceed 100 events reach
# 125.
OVERRUN_SHARE = 0.25
# A trainer requests the next step 4 s after the last.
OLD_STEP_AGE_S = 4.0
STARTED_URGENCY = 2
OLD_STEP_URGENCY = 4
DEFAULT_URGENCY = 5


class SampleEvent(NamedTuple):
    """One generated event of a sample.

    Attributes:
        number: Its number in the sample, from 1.
        data: The data of the server-sent event.
        version: The version of the weights that generated it.
        software: What generated it; None if unknown.
    """

    number: int
    data: str
    version: int
    software: Software | None = None


class RunOutcome(enum.Enum):
    """The outcome of a run of a sample.

    Attributes:
        WHOLE: The sample is complete.
        REFUSED: The target did not execute the run.
        ERROR: The engine reported an internal error.
        IMPOSSIBLE: The engine can never execute the request.
        BROKEN: The run failed for another reason, such as a lost connection.
        OUTDATED: An event had a weight version that is not allowed.
        MOVED: The run was stopped, for example to move the sample.
    """

    WHOLE = enum.auto()
    REFUSED = enum.auto()
    ERROR = enum.auto()
    IMPOSSIBLE = enum.auto()
    BROKEN = enum.auto()
    OUTDATED = enum.auto()
    MOVED = enum.auto()


class NextAction(enum.Enum):
    """What to do with a sample after a run.

    Attributes:
        LIST: Publish the complete sample.
        RUN_AGAIN: Run the sample again.
        GIVE_UP: Publish the sample as failed.
    """

    LIST = enum.auto()
    RUN_AGAIN = enum.auto()
    GIVE_UP = enum.auto()


def after_run(
    outcome: RunOutcome, errors: int, max_attempts: int
) -> NextAction:
    """Returns what to do with a sample after a run.

    Args:
        outcome: The outcome of the run.
        errors: How many runs of the sample ended with an error of the
            engine, including this one.
        max_attempts: How many such runs the route allows.
    """
    if outcome is RunOutcome.WHOLE:
        return NextAction.LIST
    if outcome is RunOutcome.IMPOSSIBLE:
        return NextAction.GIVE_UP
    if outcome is RunOutcome.ERROR and errors >= max_attempts:
        return NextAction.GIVE_UP
    return NextAction.RUN_AGAIN


def reusable_events(
    events: Sequence[SampleEvent],
    oldest_version: int,
    version: int,
    single_version: bool,
    software: Software,
) -> list[SampleEvent]:
    """Returns the events from which a new run may continue.

    Args:
        events: The events of previous runs.
        oldest_version: The oldest weight version that the sample may have.
        version: The weight version of the new run.
        single_version: Whether all events must have the same version.
        software: What generates the events of the new run.

    Returns:
        All events or none.
    """
    if not all(may_continue(event.software, software) for event in events):
        return []
    if any(event.version < oldest_version for event in events):
        return []
    if single_version and any(event.version != version for event in events):
        return []
    return list(events)


def remaining_events(hinted: float, generated: int) -> float:
    """Returns how many more events are expected of a sample.

    Hints are right at the median but often far off. A sample that exceeds its
    hint is expected to grow by a share of its current length.

    Args:
        hinted: How many events its trainer expects.
        generated: How many events it has.
    """
    return max(1.0, hinted - generated, OVERRUN_SHARE * generated)


def urgency(events: Sequence[SampleEvent], age_s: float) -> int:
    """Returns the urgency of a run; 0 is the most urgent.

    Started samples precede others, since their step waits for them longest.
    The samples of an older step precede those of the next one.

    Args:
        events: The events that the sample has.
        age_s: The time since the sample's job was submitted.
    """
    if events:
        return STARTED_URGENCY
    return OLD_STEP_URGENCY if age_s >= OLD_STEP_AGE_S else DEFAULT_URGENCY


def distinct_versions(events: Sequence[SampleEvent]) -> tuple[int, ...]:
    """Returns the distinct weight versions of a sample in ascending order."""
    return tuple(sorted({event.version for event in events}))


def software_of(events: Sequence[SampleEvent]) -> Software | None:
    """Returns what generated the events of a sample; None if unknown."""
    return events[0].software if events else None


class RunningSample(NamedTuple):
    """A running sample that may be moved to a faster target.

    Attributes:
        sample_index: Its index in the job.
        remaining_events: How many more events are expected of it.
        event_s: The time per event on its current target.
    """

    sample_index: int
    remaining_events: float
    event_s: float


def samples_to_move(
    running: Sequence[RunningSample], best_event_s: float, free_slots: int
) -> list[int]:
    """Returns the indexes of samples to move, the latest expected end first.

    Args:
        running: The running samples.
        best_event_s: The time per event on the fastest target with a free
            slot.
        free_slots: The number of free slots on targets of about this speed.
    """
    slow = [
        sample
        for sample in running
        if sample.event_s > SLOW_FACTOR * best_event_s
        and sample.remaining_events >= MIN_REMAINING_EVENTS
    ]
    slow.sort(key=lambda sample: -sample.remaining_events * sample.event_s)
    return [sample.sample_index for sample in slow[:free_slots]]
