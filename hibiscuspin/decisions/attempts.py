"""The next action on a forwarded call: start an attempt, wait or give up.

Load pattern: targets stop responding, slow down, refuse calls or lose
responses while callers wait for them. Repeatable calls are hedged early on a
second target; a call that must not be repeated is retried only if it
certainly did not run.
"""

import enum
from typing import NamedTuple

from hibiscuspin.decisions import queueing

__all__ = ["CallProgress", "Action", "ActionKind", "next_action"]

# With less time than this until the deadline, no target can be reached.
MIN_ATTEMPT_S = 0.01


class ActionKind(enum.Enum):
    """What to do next with a call."""

    START = enum.auto()
    WAIT = enum.auto()
    GIVE_UP = enum.auto()
    REJECT = enum.auto()


class CallProgress(NamedTuple):
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


class Action(NamedTuple):
    """The next action on a call.

    Attributes:
        kind: What to do.
        until: For WAIT, when to decide again at the latest.
        retry_after_s: For REJECT, when the caller may retry.
    """

    kind: ActionKind
    until: float = 0.0
    retry_after_s: float = 0.0


def next_action(
    progress: CallProgress, load: queueing.ServiceLoad, now: float
) -> Action:
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
                return Action(ActionKind.START)
            until = min(
                until, max(progress.hedge_at, now + queueing.POLL_PERIOD_S)
            )
        return Action(ActionKind.WAIT, until)
    if exhausted or now + MIN_ATTEMPT_S >= progress.deadline:
        return Action(ActionKind.GIVE_UP)
    decision = queueing.decide(load, now, progress.deadline)
    if decision.action is queueing.QueueAction.REJECT:
        # A rejection states that the call did not run.
        kind = (
            ActionKind.GIVE_UP if progress.may_have_run else ActionKind.REJECT
        )
        return Action(kind, now, decision.retry_after_s)
    if decision.action is queueing.QueueAction.WAIT:
        return Action(ActionKind.WAIT, now + queueing.POLL_PERIOD_S)
    return Action(ActionKind.START)
