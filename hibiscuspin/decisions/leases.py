"""How long a holder may rely on its lease.

The time is measured on the holder's own clocks from before the renewal
request was sent, and ends a safety margin before the store lets the lease
expire. Both clocks are checked: the monotonic clock advances while the process
is paused, and the wall clock also while the machine is suspended.
"""

from typing import NamedTuple

__all__ = [
    "LEASE_TTL_S",
    "RENEW_PERIOD_S",
    "Lease",
    "lease_from_grant",
    "is_usable",
]

LEASE_TTL_S = 30.0
SAFETY_MARGIN_S = 6.0
RENEW_PERIOD_S = 8.0


class Lease(NamedTuple):
    """A lease in the store.

    Attributes:
        lease_id: The lease id; empty if there is none.
        usable_until: Until when this holder may use it, in monotonic time.
        usable_until_wall: The same in wall-clock time.
    """

    lease_id: str = ""
    usable_until: float = 0.0
    usable_until_wall: float = 0.0


def lease_from_grant(
    lease_id: str, requested_at: float, requested_at_wall: float
) -> Lease:
    """Returns a lease that the store granted or renewed.

    Args:
        lease_id: The lease id.
        requested_at: The monotonic time before the request was sent.
        requested_at_wall: The wall-clock time before the request was sent.
    """
    usable_s = LEASE_TTL_S - SAFETY_MARGIN_S
    return Lease(
        lease_id, requested_at + usable_s, requested_at_wall + usable_s
    )


def is_usable(lease: Lease, now: float, now_wall: float) -> bool:
    """Tells whether the holder may still rely on the lease."""
    in_time = now < lease.usable_until and now_wall < lease.usable_until_wall
    return bool(lease.lease_id) and in_time
