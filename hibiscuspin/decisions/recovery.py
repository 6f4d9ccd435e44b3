"""Finds jobs whose holder is gone, and chooses their new holders.

Load pattern: an instance is killed, loses power or is cut off in the middle
of a step. During a store outage all leases may expire at once, so a missing
registration alone is weak evidence, and the holder is queried as well.

Load pattern: all instances are killed and restart together. The first one to
register gets the coordinator's duty and knows of no other instance; the
holders reclaim their own jobs a moment later.

Load pattern: the store loses answers while jobs are created or taken over. The
instance that a head names may then not know of its job, although it lives.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "StoredJob",
    "LiveInstance",
    "assigned_jobs",
    "expired_jobs",
    "may_reclaim",
    "orphaned_jobs",
    "choose_holder",
]

# Instances that were killed together restart within half a second of each
# other, and then reclaim their own jobs.
RECLAIM_GRACE_S = 1.0


class LiveInstance(NamedTuple):
    """A live instance; the term identifies its incarnation."""

    name: str
    term: str
    address: str
    data_centre: str


class StoredJob(NamedTuple):
    """The stored state of a job that matters for its recovery.

    Attributes:
        job: The job's id.
        holder: The name of the instance that holds it.
        term: The incarnation of that instance.
        unfinished: Whether samples are left to run.
        submitted_at: When it was submitted, in wall-clock time.
    """

    job: str
    holder: str
    term: str
    unfinished: bool
    submitted_at: float


def orphaned_jobs(
    jobs: Sequence[StoredJob], members_by_name: Mapping[str, LiveInstance]
) -> list[StoredJob]:
    """Returns unfinished jobs whose holder's term is no longer registered."""
    return [
        job
        for job in jobs
        if job.unfinished and not _is_holder_live(job, members_by_name)
    ]


def assigned_jobs(
    jobs: Sequence[StoredJob], members_by_name: Mapping[str, LiveInstance]
) -> dict[str, list[str]]:
    """Returns the unfinished jobs of live instances, by instance."""
    jobs_by_holder: dict[str, list[str]] = {}
    for job in jobs:
        if job.unfinished and _is_holder_live(job, members_by_name):
            jobs_by_holder.setdefault(job.holder, []).append(job.job)
    return jobs_by_holder


def _is_holder_live(
    job: StoredJob, members_by_name: Mapping[str, LiveInstance]
) -> bool:
    member = members_by_name.get(job.holder)
    return member is not None and member.term == job.term


def may_reclaim(
    orphan: StoredJob,
    last_known: LiveInstance | None,
    orphan_since: float,
    now: float,
) -> bool:
    """Tells whether to wait until the holder of an orphan reclaims it.

    Args:
        orphan: The orphaned job.
        last_known: The last registration of the holder that this instance
            has observed, if any. A holder that was observed in the job's
            term and has disappeared is not waited for.
        orphan_since: When the job was first found without its holder.
        now: The monotonic time.
    """
    seen_in_term = last_known is not None and last_known.term == orphan.term
    return not seen_in_term and now < orphan_since + RECLAIM_GRACE_S


def choose_holder(
    job: str,
    members_by_name: Mapping[str, LiveInstance],
    jobs_by_holder: Mapping[str, int],
    avoid: Collection[str] = (),
) -> LiveInstance | None:
    """Returns the new holder of a job: an instance with the fewest jobs."""
    names = [name for name in members_by_name if name not in avoid]
    if not names:
        return None
    min_jobs = min(jobs_by_holder.get(name, 0) for name in names)
    least_busy = [n for n in names if jobs_by_holder.get(n, 0) == min_jobs]
    return members_by_name[rendezvous.rank(job, least_busy)[0]]


def expired_jobs(
    jobs: Sequence[StoredJob], retention_s: float, wall: float
) -> list[StoredJob]:
    """Returns the jobs whose retention time is over."""
    return [job for job in jobs if wall - job.submitted_at > retention_s]
