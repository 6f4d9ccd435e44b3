"""What becomes of a sample after a run of it has ended.

A run adds events to a sample; the next run goes on after the last of them.
Engines that fail or refuse leave the sample to be run elsewhere.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "End",
    "Made",
    "Next",
    "Straggler",
    "after_run",
    "events_left",
    "kept_events",
    "stragglers",
    "urgency",
    "versions_of",
]

# A target that is this much slower than the best costs more than the prompt
# that a move reads again.
SLOW_FACTOR = 1.8
# A move is not worth its call when fewer events are left.
LEAST_EVENTS_LEFT = 6
# Lengths have a heavy tail: most samples that pass 100 events make 125.
OVERRUN_SHARE = 0.25
# A trainer asks for the next step 4 s after the last.
OLD_STEP_S = 4.0
BEGUN_URGENCY = 2
OLD_URGENCY = 4
USUAL_URGENCY = 5


class Made(NamedTuple):
    """One event of a sample."""

    number: int
    data: str
    version: int


class End(enum.Enum):
    """How a run of a sample ended."""

    WHOLE = enum.auto()
    REFUSED = enum.auto()
    ERROR = enum.auto()
    IMPOSSIBLE = enum.auto()
    BROKEN = enum.auto()
    OUTDATED = enum.auto()
    MOVED = enum.auto()


class Next(enum.Enum):
    """What to do with the sample."""

    LIST = enum.auto()
    RUN_AGAIN = enum.auto()
    GIVE_UP = enum.auto()


def after_run(end: End, errors: int, max_attempts: int) -> Next:
    """Returns what to do after a run.

    Args:
        end: How it ended.
        errors: Runs of the sample that an engine answered with an error,
            this one included.
        max_attempts: How many of these the route allows.
    """
    if end is End.WHOLE:
        return Next.LIST
    if end is End.IMPOSSIBLE:
        return Next.GIVE_UP
    if end is End.ERROR and errors >= max_attempts:
        return Next.GIVE_UP
    return Next.RUN_AGAIN


def kept_events(
    made: Sequence[Made],
    oldest_version: int,
    version: int,
    single_version: bool,
) -> list[Made]:
    """Returns the events that a run under some weights may go on from.

    Args:
        made: The events there are.
        oldest_version: The oldest weights that the sample may have.
        version: The weights of the run that begins.
        single_version: Whether the sample must have one version only.
    """
    if any(event.version < oldest_version for event in made):
        return []
    if single_version and any(event.version != version for event in made):
        return []
    return list(made)


def events_left(hinted: float, made: int) -> float:
    """Returns how many events are still expected of a sample.

    Hints are right at the median and often far off: a sample that has
    outrun its hint goes on for a share of what it has.

    Args:
        hinted: How many events its trainer expects.
        made: How many there are.
    """
    return max(1.0, hinted - made, OVERRUN_SHARE * made)


def urgency(made: Sequence[Made], age_s: float) -> int:
    """Returns how urgent a run is, 0 for the most urgent.

    What was begun goes before what was not, since its step waits for it
    longest; an older step goes before the one after it.
    """
    if made:
        return BEGUN_URGENCY
    return OLD_URGENCY if age_s >= OLD_STEP_S else USUAL_URGENCY


def versions_of(made: Sequence[Made]) -> tuple[int, ...]:
    """Returns the weights that made a sample, each once, the oldest first."""
    return tuple(sorted({event.version for event in made}))


class Straggler(NamedTuple):
    """A running sample.

    Attributes:
        place: Its place in the job.
        events_left: How many events are still expected of it.
        event_s: The pace of the target on which it runs.
    """

    place: int
    events_left: float
    event_s: float


def stragglers(
    running: Sequence[Straggler], best_event_s: float, places: int
) -> list[int]:
    """Returns the places of samples to move, the latest ends first.

    Args:
        running: The samples that run.
        best_event_s: The pace of the fastest target with a free place.
        places: How many free places there are on such targets.
    """
    slow = [
        row
        for row in running
        if row.event_s > SLOW_FACTOR * best_event_s
        and row.events_left >= LEAST_EVENTS_LEFT
    ]
    slow.sort(key=lambda row: -row.events_left * row.event_s)
    return [row.place for row in slow[:places]]
