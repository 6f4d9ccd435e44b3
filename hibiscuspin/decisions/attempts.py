"""The next action on a forwarded call: start an attempt, wait or give up.

Load pattern: targets stop responding, slow down, refuse calls or lose
responses while callers wait for them. Repeatable calls are hedged early on a
second target; a call that must not be repeated is retried only if it
certainly did not run.
"""

import enum
from typing import NamedTuple

from hibiscuspin.decisions import queueing

__all__ = ["Progress", "Step", "StepKind", "next_step"]

# With less time than this until the deadline, no target can be reached.
MIN_ATTEMPT_S = 0.01


class StepKind(enum.Enum):
    """What to do next with a call."""

    START = enum.auto()
    WAIT = enum.auto()
    GIVE_UP = enum.auto()
    REJECT = enum.auto()


class Progress(NamedTuple):
    """The progress of a call.

    Attributes:
        repeatable: Whether it may run more than once.
        max_attempts: The maximum number of targets on which it may run.
        running: Number of attempts without a result.
        may_have_run: Number of attempts that ran or may have run, including
            those in flight.
        hedge_at: When a further attempt may start while one is in flight.
        deadline: When the caller stops waiting for the response.
    """

    repeatable: bool
    max_attempts: int
    running: int
    may_have_run: int
    hedge_at: float
    deadline: float


class Step(NamedTuple):
    """The next action on a call.

    Attributes:
        kind: What to do.
        until: For WAIT, when to decide again at the latest.
        retry_after_s: For REJECT, when the caller may retry.
    """

    kind: StepKind
    until: float = 0.0
    retry_after_s: float = 0.0


def next_step(progress: Progress, load: queueing.Load, now: float) -> Step:
    """Returns the next action on a call.

    Args:
        progress: The progress of the call.
        load: The load of the call's service.
        now: The monotonic time.
    """
    exhausted = progress.may_have_run >= (
        progress.max_attempts if progress.repeatable else 1
    )
    if progress.running:
        until = progress.deadline
        if progress.repeatable and not exhausted:
            if now >= progress.hedge_at and load.free > 0:
                return Step(StepKind.START)
            until = min(until, max(progress.hedge_at, now + queueing.POLL_S))
        return Step(StepKind.WAIT, until)
    if exhausted or now + MIN_ATTEMPT_S >= progress.deadline:
        return Step(StepKind.GIVE_UP)
    decision = queueing.judge(load, now, progress.deadline)
    if decision.move is queueing.Move.START:
        return Step(StepKind.START)
    if decision.move is queueing.Move.WAIT:
        return Step(StepKind.WAIT, now + queueing.POLL_S)
    return Step(StepKind.REJECT, now, decision.retry_after_s)
