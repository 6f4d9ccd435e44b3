"""Whether an instance has lost its links to all targets.

Load pattern: an instance is cut off from all targets for seconds, while
callers, the store and other instances still reach it. Connections hang, are
reset, or live on while new ones are refused. A target that does not answer is
at fault by itself; if none has answered since, the links of the instance are.
"""

from typing import NamedTuple

__all__ = [
    "ISOLATION_S",
    "Reach",
    "after_answer",
    "after_unanswered",
    "is_doubtful",
    "is_isolated",
    "needs_peer",
]

# Two targets may end together; a third does so rarely, and a mistake ends with
# the next answer.
MIN_UNANSWERED_TARGETS = 3
# Jobs and duties move only after this long, since a move costs more than a
# request through another instance.
ISOLATION_S = 0.6


class Reach(NamedTuple):
    """What an instance knows of its links to targets.

    Attributes:
        answered_at: When any target last answered, in monotonic time.
        unanswered: The targets that have not answered since then.
        doubtful_since: Since when there have been too many of them; None if
            there are not.
    """

    answered_at: float = float("-inf")
    unanswered: frozenset[str] = frozenset()
    doubtful_since: float | None = None


def after_answer(reach: Reach, now: float, *, new_connection: bool) -> Reach:
    """Returns the reach after an answer of any target.

    Args:
        reach: The reach before.
        now: The monotonic time.
        new_connection: Whether a new connection was accepted. Open ones may
            live on while new ones are refused, so that only this ends the
            doubt.
    """
    if is_doubtful(reach) and not new_connection:
        return reach._replace(answered_at=now)
    return Reach(answered_at=now)


def after_unanswered(
    reach: Reach, target: str, known: int, now: float
) -> Reach:
    """Returns the reach after a target did not answer.

    Args:
        reach: The reach before.
        target: The target.
        known: How many targets are known.
        now: The monotonic time.
    """
    unanswered = reach.unanswered | {target}
    is_lost = len(unanswered) >= min(MIN_UNANSWERED_TARGETS, known)
    since = reach.doubtful_since
    if is_lost and since is None:
        since = now
    return reach._replace(unanswered=unanswered, doubtful_since=since)


def is_doubtful(reach: Reach) -> bool:
    """Returns whether requests should go through another instance."""
    return reach.doubtful_since is not None


def is_isolated(reach: Reach, now: float) -> bool:
    """Returns whether other instances should take jobs and duties over."""
    since = reach.doubtful_since
    return since is not None and now >= since + ISOLATION_S


def needs_peer(
    reach: Reach, last_sent_at: float | None, is_relayed: bool
) -> bool:
    """Returns whether the next attempt goes through another instance.

    That is also so if an attempt has brought no answer and no target has
    answered this instance meanwhile: the links may be lost, and a first request
    should not wait until that is certain.

    Args:
        reach: The reach of the instance.
        last_sent_at: When the last attempt of the request was sent; None
            before the first one.
        is_relayed: Whether the request came from another instance. It then
            goes no further.
    """
    if is_relayed:
        return False
    is_unanswered = (
        last_sent_at is not None and reach.answered_at < last_sent_at
    )
    return is_doubtful(reach) or is_unanswered
