"""Recovery of the jobs of lost instances, run by the coordinator."""

import threading
from collections.abc import Callable

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import recovery
from hibiscuspin.decisions.recovery import LiveInstance, StoredJob
from hibiscuspin.edges import StoreError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.job_store import JobStore
from hibiscuspin.tasks.jobs import Jobs

__all__ = ["JobRecovery"]

TICK_S = 0.1
# While jobs wait to be resumed.
CONFIGURED_POLL_S = 0.02
# The loss of an instance triggers a sweep at once; periodic sweeps find
# orphans that such a sweep missed.
SWEEP_PERIOD_S = 4.0
# Sweep interval while there are orphaned jobs, or after a store error.
RETRY_S = 0.4
STORE_TIMEOUT_S = 2.0
# An instance that was lost lately may still be registered.
MAX_OFFERS = 3
# Results can be read for the platform's retention time; the job is deleted
# this much later.
RETENTION_MARGIN_S = 30.0

_log = get_logger("rollouts")


class JobRecovery:
    """Recovers orphaned jobs while this instance is the coordinator."""

    name = "job recovery"

    def __init__(
        self,
        instances: Instances,
        jobs: Jobs,
        store: JobStore,
        clock: Clock,
        keep_s: float,
        *,
        first_start: bool = False,
        is_configured: Callable[[], bool] = lambda: True,
        on_resume: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates the task.

        Args:
            instances: The live instances.
            jobs: The jobs of all instances; assigns orphaned ones.
            store: The store of jobs.
            clock: The wall and monotonic clocks.
            keep_s: How long results can be read after a job's submission.
            first_start: Whether this is the instance's first start, so that
                it can't have jobs to resume.
            is_configured: Returns whether the routes of jobs are known.
            on_resume: Called if this instance has jobs to resume.
        """
        self._instances = instances
        self._jobs = jobs
        self._store = store
        self._clock = clock
        self._retention_s = keep_s + RETENTION_MARGIN_S
        self._first_start = first_start
        self._is_configured = is_configured
        self._on_resume = on_resume
        self._finish_at = 0.0
        self._sweep_at = 0.0
        self._orphan_since_by_job: dict[str, float] = {}
        self._observed_terms: frozenset[tuple[str, str]] = frozenset()

    def run(self, stop: threading.Event) -> None:
        """Sweeps after each loss of a live instance, and periodically."""
        if not self._first_start:
            self._resume_own(stop)
        while not stop.wait(TICK_S):
            now = self._clock.monotonic()
            self._finish_writes(now)
            self._evacuate()
            members = self._instances.members()
            observed = frozenset((m.name, m.term) for m in members.values())
            lost = bool(self._observed_terms - observed)
            self._observed_terms = observed
            if self._instances.term() is None:
                self._sweep_at = 0.0
                continue
            if not lost and now < self._sweep_at:
                continue
            self._sweep_at = now + SWEEP_PERIOD_S
            try:
                self.sweep()
            except StoreError as error:
                self._sweep_at = now + RETRY_S
                _log.info(
                    "Sweep for orphaned jobs failed.",
                    extra={"reason": str(error)},
                )

    def _finish_writes(self, now: float) -> None:
        if now < self._finish_at:
            return
        try:
            self._jobs.finish_takeovers()
            self._jobs.finish_ends()
        except StoreError as error:
            self._finish_at = now + RETRY_S
            _log.info(
                "End or takeover of a job not finished; retrying.",
                extra={"reason": str(error)},
            )

    def _evacuate(self) -> None:
        try:
            self._jobs.evacuate()
        except StoreError as error:
            _log.info(
                "Job neither handed over nor continued yet; retrying.",
                extra={"reason": str(error)},
            )

    def _resume_own(self, stop: threading.Event) -> None:
        resumable: list[str] | None = None
        while not stop.is_set():
            try:
                if resumable is None:
                    resumable = self._jobs.own_unfinished()
                    if resumable:
                        self._on_resume()
                if self._is_configured():
                    while resumable:
                        self._jobs.adopt(resumable[0])
                        del resumable[0]
                if not resumable:
                    return
                stop.wait(CONFIGURED_POLL_S)
            except StoreError as error:
                _log.info(
                    "Own jobs not resumed after a restart; retrying.",
                    extra={"reason": str(error)},
                )
                stop.wait(RETRY_S)

    def sweep(self) -> None:
        """Reassigns orphaned jobs, confirms the others, deletes expired ones.

        Raises:
            StoreError: The store could not be reached.
        """
        members = self._instances.members()
        now = self._clock.monotonic()
        rows = self._store.heads(now + STORE_TIMEOUT_S)
        jobs = [job for job, _ in rows]
        jobs_by_holder: dict[str, int] = {}
        for job in jobs:
            if job.unfinished:
                jobs_by_holder[job.holder] = (
                    jobs_by_holder.get(job.holder, 0) + 1
                )
        organisation_by_job = {
            job.job: stored.head.get("organisation", "") for job, stored in rows
        }
        orphans = recovery.orphaned_jobs(jobs, members)
        since_by_job = {
            orphan.job: self._orphan_since_by_job.get(orphan.job, now)
            for orphan in orphans
        }
        self._orphan_since_by_job = since_by_job
        for orphan in orphans:
            self._sweep_at = now + RETRY_S
            holder = self._instances.last_known(orphan.holder)
            since = since_by_job[orphan.job]
            if not recovery.may_reclaim(orphan, holder, since, now):
                able = self._jobs.able_holders(
                    organisation_by_job[orphan.job], members
                )
                self._try_reassign(orphan, able, jobs_by_holder)
        for name, assigned in recovery.assigned_jobs(jobs, members).items():
            self._jobs.confirm_assigned(members[name], assigned)
        wall = self._clock.wall()
        for job in recovery.expired_jobs(jobs, self._retention_s, wall):
            self._store.delete(job.job, now + STORE_TIMEOUT_S)
            _log.info("Expired job deleted.", extra={"job": job.job})
        self._jobs.drop_expired(wall - self._retention_s)

    def _try_reassign(
        self,
        orphan: StoredJob,
        members: dict[str, LiveInstance],
        jobs_by_holder: dict[str, int],
    ) -> None:
        """Reassigns an orphan; a failure holds up no other one."""
        try:
            self._reassign(orphan, members, jobs_by_holder)
        except StoreError as error:
            _log.info(
                "Orphaned job not taken over; retrying.",
                extra={"job": orphan.job, "reason": str(error)},
            )

    def _reassign(
        self,
        orphan: StoredJob,
        members: dict[str, LiveInstance],
        jobs_by_holder: dict[str, int],
    ) -> None:
        holder = self._instances.last_known(orphan.holder)
        if (
            holder is not None
            and holder.term == orphan.term
            and self._jobs.is_held_by(holder, orphan.job)
        ):
            _log.info(
                "Job not reassigned: its unregistered holder still runs it.",
                extra={"job": orphan.job, "holder": orphan.holder},
            )
            return
        refused = self._jobs.suspects()
        for _ in range(MAX_OFFERS):
            member = recovery.choose_holder(
                orphan.job, members, jobs_by_holder, refused
            )
            if member is None:
                return
            refused.append(member.name)
            adopted = self._jobs.assign(orphan.job, member)
            _log.info(
                "Orphaned job offered to an instance.",
                extra={
                    "job": orphan.job,
                    "from": orphan.holder,
                    "to": member.name,
                    "taken": adopted,
                },
            )
            if adopted:
                count = jobs_by_holder.get(member.name, 0)
                jobs_by_holder[member.name] = count + 1
                return
