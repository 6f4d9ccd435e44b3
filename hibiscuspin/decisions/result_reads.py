"""Where the results of a job are read.

Load pattern: after a fault, or at the end of a run, clients read all jobs from
their first result, at instances all over the fleet. The holder of several jobs
has a link that carries few such transfers in the time that clients wait; a
client that gives up repeats its read at another instance, so the same bytes
cross the link again. The results of a job that has ended no longer change, and
the store has a wide link: they are read there. A holder sends them only while
the store can't be read.
"""

from enum import StrEnum

__all__ = ["ResultSource", "sends_results", "sources"]

# Reading less from the holder takes one call and little of its link; the store
# needs two calls and sends all results.
MIN_BULK_BYTES = 100_000


class ResultSource(StrEnum):
    """Where results were read; the values are names in metrics and logs."""

    LOCAL = "local"
    HOLDER = "holder"
    STORE = "store"


def sources(
    holder_answers: bool, store_is_reachable: bool
) -> tuple[ResultSource, ...]:
    """Returns where to read results that no longer change, in order.

    Args:
        holder_answers: Whether the holder is another live instance that has
            not failed to respond to this read.
        store_is_reachable: Whether this instance's last direct call to the
            store succeeded.
    """
    if not holder_answers:
        return (ResultSource.STORE,)
    if store_is_reachable:
        return ResultSource.STORE, ResultSource.HOLDER
    return ResultSource.HOLDER, ResultSource.STORE


def sends_results(
    has_ended: bool, size_bytes: int, store_is_reachable: bool
) -> bool:
    """Returns whether a holder sends results rather than refer to the store.

    A trainer ends its job when it has read what it waits for, so no reader of
    an ended job is in a hurry.

    Args:
        has_ended: Whether the job has ended.
        size_bytes: The size of the results that a reader asks for.
        store_is_reachable: Whether the holder's last direct call to the store
            succeeded.
    """
    is_bulk = size_bytes >= MIN_BULK_BYTES
    return not (has_ended and is_bulk and store_is_reachable)
