"""Whether a call starts, waits for a free slot or is rejected.

Load pattern: a burst of several times the normal load, or the loss of most
targets of a service. Calls that can't be completed in time are rejected
immediately with a retry time, rather than kept until their deadline. No call
is rejected while slots are free.
"""

import enum
from typing import NamedTuple

__all__ = ["ServiceLoad", "QueueAction", "QueueDecision", "decide"]

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
# How long a call waits before a full or failing target is tried again.
POLL_PERIOD_S = 0.03


class QueueAction(enum.Enum):
    """What to do with a call that is not in flight."""

    START = enum.auto()
    WAIT = enum.auto()
    REJECT = enum.auto()


class ServiceLoad(NamedTuple):
    """The load of a service as one instance knows it.

    Attributes:
        free: Slots that no known request occupies.
        slots: Slots of all targets that may receive requests.
        ahead: Calls of this instance that wait for a slot.
        answer_s: Expected time until a response.
        is_limited: Whether all targets that may receive requests name a
            request limit. `free` is then what the limits allow.
        token_wait_s: With such limits, the expected wait for a token.
    """

    free: int
    slots: int
    ahead: int
    answer_s: float
    is_limited: bool = False
    token_wait_s: float = 0.0


class QueueDecision(NamedTuple):
    """An action, and for REJECT the time after which to retry."""

    action: QueueAction
    retry_after_s: float = 0.0


def decide(load: ServiceLoad, now: float, deadline: float) -> QueueDecision:
    """Decides on a call that has no target yet."""
    if load.free > 0:
        return QueueDecision(QueueAction.START)
    slot_wait_s = (load.ahead + 1) * load.answer_s / max(1, load.slots)
    wait_s = max(slot_wait_s, load.token_wait_s)
    if load.slots and now + wait_s + load.answer_s <= deadline:
        return QueueDecision(QueueAction.WAIT)
    retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return QueueDecision(QueueAction.REJECT, retry_s)
