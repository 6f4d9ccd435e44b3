"""Who may read, submit again and end a job.

Load pattern: trainers of several organisations read their jobs every second
through any instance, while keys are replaced and removed. A job belongs to
the organisation that submitted it, not to the key, and must not be seen by
another one.
"""

import enum
from typing import NamedTuple

__all__ = ["UNCHECKED", "JobAccess", "Requester", "job_access"]


class JobAccess(enum.Enum):
    """The answer to a request about a job."""

    ALLOWED = "allowed"
    # Answered like a job that does not exist.
    HIDDEN = "hidden"
    KEY_REQUIRED = "key_required"


class Requester(NamedTuple):
    """Who sends a request about a job.

    Attributes:
        is_checked: Whether the configuration has organisations.
        organisation: The organisation of its key; empty without a valid key.
    """

    is_checked: bool
    organisation: str = ""

    @property
    def lacks_key(self) -> bool:
        """Whether it needs a key and has no valid one."""
        return self.is_checked and not self.organisation


UNCHECKED = Requester(is_checked=False)


def job_access(requester: Requester, owner: str, is_public: bool) -> JobAccess:
    """Returns whether a requester may use a job.

    Args:
        requester: Who asks.
        owner: The organisation that submitted the job; empty for a job that
            was submitted without a key, also by an earlier build.
        is_public: Whether it was submitted on a public route.
    """
    if not requester.is_checked:
        return JobAccess.ALLOWED
    if requester.lacks_key:
        return JobAccess.ALLOWED if is_public else JobAccess.KEY_REQUIRED
    if owner in ("", requester.organisation):
        return JobAccess.ALLOWED
    return JobAccess.HIDDEN
