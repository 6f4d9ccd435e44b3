"""Which instance holds a job first, and which ones holders exchange loads with.

Load pattern: a trainer's steps arrive at any instance of its data centre. If
each instance held what arrives there, each would open connections of its own
to all engines, and the two steps that overlap would compete for slots from
two instances that learn of each other's requests late. The steps of a model
therefore go to one instance of the data centre while it is live.

Load pattern: a handful of job holders among hundreds of instances. Asking all
instances for their loads takes longer than the samples that the loads are
about, and so does telling all of them of each weight load. The coordinator
hears of all holders and names them to each; without it, a holder asks all
instances now and then.

Load pattern: a trainer ends a large step every few seconds. Its holder still
has the step, and after some of them it has no memory for the next one, though
the results of ended steps can be read from the store as well.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous
from hibiscuspin.decisions.recovery import LiveInstance

__all__ = [
    "HOLDER_TTL_S",
    "EndedJob",
    "active_holders",
    "instances_to_ask",
    "jobs_to_drop",
    "may_hold_more",
    "preferred_holder",
]

# The open steps that an instance takes for others: a trainer has two at a
# time, and further ones may be open after a fault.
MAX_FORWARDED_JOBS = 4

# Holders report several times a second; some reports are lost.
HOLDER_TTL_S = 1.5


class EndedJob(NamedTuple):
    """A job that no longer runs on the instance that still has it.

    Attributes:
        job: Its id.
        submitted_at: Wall-clock time of its submission.
        size_bytes: The memory that it takes.
    """

    job: str
    submitted_at: float
    size_bytes: int


def active_holders(
    reported_at_by_name: Mapping[str, float], now: float
) -> list[str]:
    """Returns the instances that have reported their load lately.

    Args:
        reported_at_by_name: When each instance last reported.
        now: The monotonic time.
    """
    return sorted(
        name
        for name, at in reported_at_by_name.items()
        if now - at <= HOLDER_TTL_S
    )


def preferred_holder(
    model: str,
    own: LiveInstance,
    others: Collection[LiveInstance],
    suspects: Collection[str],
) -> LiveInstance:
    """Returns the instance that should hold a job that arrives here.

    Args:
        model: The model of the job.
        own: This instance.
        others: The other live instances.
        suspects: The names of instances that did not respond lately.
    """
    near_by_name = {
        member.name: member
        for member in (own, *others)
        if member.data_centre == own.data_centre and member.name not in suspects
    }
    return near_by_name[rendezvous.rank(f"holder {model}", near_by_name)[0]]


def may_hold_more(open_jobs: int) -> bool:
    """Returns whether an instance takes a further job from another one."""
    return open_jobs < MAX_FORWARDED_JOBS


def instances_to_ask(
    others: Collection[str],
    holders: Collection[str],
    coordinator: str,
    coordinator_answers: bool,
    ask_all: bool,
) -> list[str]:
    """Returns the instances with which a holder exchanges loads now.

    Args:
        others: The other live instances, preferred ones first.
        holders: The known holders.
        coordinator: The coordinator; empty if unknown.
        coordinator_answers: Whether the coordinator, which may be this
            instance, has named the holders lately.
        ask_all: Whether all instances are asked if the holders are unknown.
    """
    if ask_all and not coordinator_answers:
        return list(others)
    return [name for name in others if name in holders or name == coordinator]


def jobs_to_drop(ended: Sequence[EndedJob], excess_bytes: float) -> list[str]:
    """Returns the ended jobs to drop so that a further job can be held.

    Args:
        ended: The ended jobs.
        excess_bytes: How much memory the further job lacks.

    Returns:
        The oldest ones that make enough room; none if all together don't.
    """
    if sum(row.size_bytes for row in ended) < excess_bytes:
        return []
    dropped = []
    for row in sorted(ended, key=lambda row: row.submitted_at):
        if excess_bytes <= 0:
            break
        excess_bytes -= row.size_bytes
        dropped.append(row.job)
    return dropped
