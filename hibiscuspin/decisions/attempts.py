"""The next step of a call that is passed on: start, wait or give up.

Load pattern: targets that go dark, slow down, refuse or lose answers while
callers wait at a counter. Repeatable calls get a second target early; a call
that must not be repeated is sent again only where it surely did not run.
"""

import enum
from typing import NamedTuple

from hibiscuspin.decisions import queueing

__all__ = ["Progress", "Step", "StepKind", "next_step"]

# Below this a target could not even be reached.
LEAST_ATTEMPT_S = 0.01


class StepKind(enum.Enum):
    """What to do next."""

    START = enum.auto()
    WAIT = enum.auto()
    GIVE_UP = enum.auto()
    REJECT = enum.auto()


class Progress(NamedTuple):
    """What has become of a call so far.

    Attributes:
        repeatable: Whether it may run more than once.
        max_attempts: The most targets on which it may run.
        running: Attempts without a result.
        may_have_run: Attempts that ran or may have run, those running too.
        hedge_at: When a further attempt may start beside one that runs.
        deadline: When its answer is of no more use.
    """

    repeatable: bool
    max_attempts: int
    running: int
    may_have_run: int
    hedge_at: float
    deadline: float


class Step(NamedTuple):
    """A step, until when to wait, and when a rejected caller may return."""

    kind: StepKind
    until: float = 0.0
    retry_after_s: float = 0.0


def next_step(progress: Progress, load: queueing.Load, now: float) -> Step:
    """Returns what to do with a call now."""
    spent = progress.may_have_run >= (
        progress.max_attempts if progress.repeatable else 1
    )
    if progress.running:
        until = progress.deadline
        if progress.repeatable and not spent:
            if now >= progress.hedge_at and load.free > 0:
                return Step(StepKind.START)
            until = min(until, max(progress.hedge_at, now + queueing.POLL_S))
        return Step(StepKind.WAIT, until)
    if spent or now + LEAST_ATTEMPT_S >= progress.deadline:
        return Step(StepKind.GIVE_UP)
    verdict = queueing.judge(load, now, progress.deadline)
    if verdict.move is queueing.Move.START:
        return Step(StepKind.START)
    if verdict.move is queueing.Move.WAIT:
        return Step(StepKind.WAIT, now + queueing.POLL_S)
    return Step(StepKind.REJECT, now, verdict.retry_after_s)
