"""Ends of jobs in the store.

A job has ended once its head says so: its holder and every instance that takes
it over read the head.
"""

from hibiscuspin.clock import Clock
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.job_store import (
    FencedError,
    JobHead,
    JobStore,
    StoredHead,
)

__all__ = ["JobEnds"]

END_TIMEOUT_S = 2.0

_log = get_logger("rollouts")


class JobEnds:
    """Marks jobs as ended, whichever instance holds them."""

    def __init__(self, store: JobStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._unconfirmed: set[str] = set()

    def finish_later(self, job: str) -> None:
        """Keeps a job whose end failed, until a later call succeeds."""
        self._unconfirmed.add(job)

    def unconfirmed(self) -> list[str]:
        """Returns the jobs whose end the store has not confirmed."""
        return list(self._unconfirmed)

    def mark(self, job: str, known: StoredHead | None) -> StoredHead:
        """Marks a job as ended; does nothing if it has ended.

        Args:
            job: The job's id.
            known: The last known head, also an old one; None if unknown.

        Returns:
            The head that says so; its holder may still run the job.

        Raises:
            HibiscusError: `NOT_FOUND` if there is no such job.
            StoreError: The store could not be reached.
        """
        deadline = self._clock.monotonic() + END_TIMEOUT_S
        stored = known or self._store.head(job, deadline)
        while stored is not None and not stored.head["ended"]:
            ended: JobHead = {**stored.head, "ended": True}
            try:
                stored = self._store.replace_head(job, stored, ended, deadline)
            except FencedError as fenced:
                # The other change, such as a takeover, doesn't end the job.
                stored = fenced.current
                _log.info(
                    "Head of a job changed before its end was written.",
                    extra={
                        "job": job,
                        "holder": stored.head["holder"] if stored else "",
                    },
                )
        self._unconfirmed.discard(job)
        if stored is None:
            raise HibiscusError(
                ErrorKind.NOT_FOUND, f"Job {job} does not exist."
            )
        return stored
