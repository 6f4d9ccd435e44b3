"""What the store's record of the coordinator's duty means for one instance.

Load pattern: all instances restart together, and one takes the duty while
registrations that were read a moment before are still on their way to it; or
the store's answer to the acquisition is lost. The duty must neither be given
up by an old view nor be kept without being exercised.

Load pattern: the coordinator's process is killed and starts again within a
second, long before its lease expires. It takes the duty back at once.

Load pattern: instances are stopped in turn, and the duty with them. Steps
whose engines have old weights wait for the next coordinator's first order.
"""

from collections.abc import Collection
from typing import NamedTuple

__all__ = [
    "DutyView",
    "is_duty_of_predecessor",
    "is_duty_unclaimed",
    "is_term_over",
    "orders_from",
]


class DutyView(NamedTuple):
    """The duty as the last view of the live keys shows it.

    Attributes:
        lease: The lease under which the duty is held; 0 if nobody holds it.
        revision: The store's revision of the duty; 0 if nobody holds it.
        newest_revision: The newest revision in the view. The view is at least
            as new.
    """

    lease: int
    revision: int
    newest_revision: int


def is_term_over(view: DutyView, own_lease: int, fencing: int) -> bool:
    """Returns whether the view shows that a term has ended.

    Args:
        view: The last view.
        own_lease: The lease of this instance.
        fencing: The revision with which the term began.
    """
    if not view.revision:
        return view.newest_revision > fencing
    return view.lease != own_lease and view.revision > fencing


def is_duty_unclaimed(view: DutyView, own_lease: int, has_term: bool) -> bool:
    """Returns whether this instance holds the duty without knowing it."""
    return bool(view.lease) and view.lease == own_lease and not has_term


def is_duty_of_predecessor(
    holder: str, lease: int, own_name: str, own_leases: Collection[int]
) -> bool:
    """Returns whether an earlier process of this instance holds the duty.

    That process has ended, since one name stands for one machine.

    Args:
        holder: The name under which the duty is held.
        lease: The lease under which it is held.
        own_name: The name of this instance.
        own_leases: All leases of this process.
    """
    return holder == own_name and lease not in own_leases


def orders_from(
    free_since: float, wait_s: float, last_wait_s: float | None, now: float
) -> float:
    """Returns when a new coordinator may send its first order.

    Engines must not get orders of two coordinators within `wait_s`. The last
    one has sent none since its lease ended.

    Args:
        free_since: When the last coordinator's duty was first seen to be
            free; `now` if its term was never seen.
        wait_s: The least time between orders of two coordinators.
        last_wait_s: What was left of `wait_s` after the last order when the
            last coordinator gave up the duty; None if it was lost.
        now: The monotonic time.
    """
    if last_wait_s is None:
        return max(now, min(free_since, now) + wait_s)
    # It gave up the duty before that was seen here.
    return now + min(wait_s, last_wait_s)
