"""How long an instance's registration lasts, and how often it is renewed.

Load pattern: a fleet of hundreds of instances of which a few hold jobs or
compete for the coordinator's duty. The loss of these must be noticed within
two seconds. The loss of any other harms nobody before it is called, and
renewing all registrations as often would be the fleet's largest cost.
"""

from typing import NamedTuple

__all__ = ["IDLE_LEASE", "LeasePlan", "PROMPT_LEASE", "lease_plan"]

# A job is often followed by the next one, and each change of lease takes two
# calls.
IDLE_DELAY_S = 10.0


class LeasePlan(NamedTuple):
    """The lease of a registration.

    Attributes:
        ttl_s: The time after which an unrenewed registration ends.
        renew_s: The time between renewals.
    """

    ttl_s: float
    renew_s: float


# Two renewals may fail before the lease expires.
PROMPT_LEASE = LeasePlan(2.0, 0.6)
IDLE_LEASE = LeasePlan(8.0, 2.5)


def lease_plan(current: LeasePlan, needed_at: float, now: float) -> LeasePlan:
    """Returns the lease that an instance should have.

    Args:
        current: Its lease.
        needed_at: When its loss last had to be noticed soon.
        now: The monotonic time.
    """
    if needed_at >= now:
        return PROMPT_LEASE
    return current if now - needed_at < IDLE_DELAY_S else IDLE_LEASE
