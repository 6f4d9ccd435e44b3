"""Finds jobs whose holder is gone, and who goes on with each.

Load pattern: an instance is killed, loses power or is cut off in the middle
of a step. While the store was out all leases may have ended at once, so that
a missing registration alone says little: the holder is asked as well.

Load pattern: all instances are killed and start again together. The first
that is registered has the coordinator's duty and knows no other; holders take
their own jobs back a moment later.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "HeldJob",
    "Member",
    "expired",
    "may_return",
    "orphans",
    "successor",
]

# Instances that were killed together start within half a second of each
# other, and then take their own jobs back.
RETURN_S = 1.0


class Member(NamedTuple):
    """A live instance in one of its incarnations."""

    name: str
    term: str
    address: str
    data_centre: str


class HeldJob(NamedTuple):
    """A job as the store has it.

    Attributes:
        job: Its id.
        holder: The instance that runs it.
        term: That instance's incarnation.
        open: Whether samples are left to run.
        submitted_at: When it was submitted, in wall-clock time.
    """

    job: str
    holder: str
    term: str
    open: bool
    submitted_at: float


def orphans(
    jobs: Sequence[HeldJob], members_by_name: Mapping[str, Member]
) -> list[HeldJob]:
    """Returns the open jobs whose holder is not registered any more."""
    return [
        job
        for job in jobs
        if job.open
        and (
            job.holder not in members_by_name
            or members_by_name[job.holder].term != job.term
        )
    ]


def may_return(
    orphan: HeldJob, last_known: Member | None, orphan_since: float, now: float
) -> bool:
    """Tells whether an orphan's holder may still take it back itself.

    Args:
        orphan: The job.
        last_known: The holder as it was registered last, as far as this
            instance has seen; one that was seen in the job's term and has
            gone is not waited for.
        orphan_since: When the job was first found without its holder.
        now: The monotonic time.
    """
    seen = last_known is not None and last_known.term == orphan.term
    return not seen and now < orphan_since + RETURN_S


def successor(
    job: str,
    members_by_name: Mapping[str, Member],
    jobs_by_holder: Mapping[str, int],
    avoid: Collection[str] = (),
) -> Member | None:
    """Returns the instance that goes on with a job, the least busy first."""
    names = [name for name in members_by_name if name not in avoid]
    if not names:
        return None
    least = min(jobs_by_holder.get(name, 0) for name in names)
    idle = [n for n in names if jobs_by_holder.get(n, 0) == least]
    return members_by_name[rendezvous.rank(job, idle)[0]]


def expired(
    jobs: Sequence[HeldJob], keep_s: float, wall: float
) -> list[HeldJob]:
    """Returns the jobs that nobody may ask for any more."""
    return [job for job in jobs if wall - job.submitted_at > keep_s]
