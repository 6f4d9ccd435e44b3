"""Batch jobs of all instances, as callers see them.

A call about a job is served by the job's holder, or from the store if the
holder does not respond. The instance that accepts a job is its first holder.
"""

import contextlib
import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import (
    holders,
    recovery,
    result_reads,
    saved_samples,
)
from hibiscuspin.decisions.organisations.job_access import (
    UNCHECKED,
    JobAccess,
    Requester,
    job_access,
)
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.result_reads import ResultSource
from hibiscuspin.decisions.routes import ForwardRoute
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks import takeover_requests
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.job_ends import JobEnds
from hibiscuspin.tasks.job_store import (
    FencedError,
    JobContents,
    JobHead,
    SavedSamples,
    StoredHead,
    trim_default,
)
from hibiscuspin.tasks.local_job import JobDependencies, LocalJob
from hibiscuspin.tasks.peer_formats import PeerFormats
from hibiscuspin.tasks.result_reads import (
    ENDED_RESULTS_METHOD,
    RESULTS_METHOD,
    JobResults,
    ResultReader,
    ResultsRequest,
    limit_size,
)
from hibiscuspin.tasks.takeover_requests import TakeoverRequest

__all__ = ["READ_SLACK_S", "Jobs"]

ACCEPT_METHOD = "jobs.accept"
ADOPT_METHOD = "jobs.adopt"
ASSIGNED_METHOD = "jobs.assigned"
END_METHOD = "jobs.end"
HOLDS_METHOD = "jobs.holds"
ITEM_METHOD = "jobs.item"
TAKE_OVER_METHOD = "jobs.take-over"

MAX_CONTROL_THREADS = 64
# An instance that responds accepts a job within 0.1 s.
ACCEPT_CALL_TIMEOUT_S = 0.3
# Errors with which an instance states that it has not accepted a job and will
# not. Builds without the method respond that it is not found.
CERTAIN_REFUSALS = frozenset(
    {
        ErrorKind.NOT_FOUND,
        ErrorKind.NOT_HOLDER,
        ErrorKind.OVERLOADED,
        ErrorKind.STOPPING,
        ErrorKind.STORE_UNAVAILABLE,
    }
)
# Trainers retry a rejected job only once and store outages last seconds, so
# creating a job is retried for this long.
ACCEPT_TIMEOUT_S = 4.0
ACCEPT_RETRY_S = 0.1
PEER_TIMEOUT_S = 0.8
# The recovery of a lost holder's job waits for this timeout; a live holder
# responds within 20 ms.
HOLDS_QUERY_TIMEOUT_S = 0.3
STORE_TIMEOUT_S = 1.2
# Readers wait 1.5 s longer than the `wait_s` they send; the rest of that time
# is for the response to them.
READ_SLACK_S = 1.3
ASSIGNED_TIMEOUT_S = 0.3
# How often an instance that reaches no target offers its jobs to others.
EVACUATION_PERIOD_S = 1.5
ADOPT_TIMEOUT_S = 2.5

_log = get_logger("rollouts")


class _ItemRequest(NamedTuple):
    job: str
    item: str


class Jobs:
    """Jobs that this instance holds, and remote access to all other jobs."""

    def __init__(
        self,
        dependencies: JobDependencies,
        instances: Instances,
        peers: PeerHttpClient,
        store_is_reachable: Callable[[], bool] = lambda: True,
        formats: PeerFormats | None = None,
        max_held_bytes: float = math.inf,
    ) -> None:
        """Creates the jobs.

        Args:
            dependencies: What all jobs share.
            instances: The live instances.
            peers: Calls other instances.
            store_is_reachable: Returns whether the last direct call to the
                store succeeded.
            formats: Which instances read jobs of organisations; None for all.
            max_held_bytes: What the contents of jobs that are held here may
                take; ended jobs make room for new ones. Jobs that are handed
                over or recovered are held beyond it.
        """
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._formats = formats
        self._dependencies = dependencies
        self._store = dependencies.store
        self._reach = dependencies.targets.reach
        self._instances = instances
        self._peers = peers
        self._clock: Clock = dependencies.clock
        self._store_is_reachable = store_is_reachable
        self._reader = ResultReader(
            dependencies.store, peers, dependencies.clock, store_is_reachable
        )
        self._ends = JobEnds(dependencies.store, dependencies.clock)
        self._lock = threading.Lock()
        self._job_by_id: dict[str, LocalJob] = {}
        self._head_by_id: dict[str, StoredHead] = {}
        self._control_threads = ThreadPoolExecutor(
            MAX_CONTROL_THREADS, thread_name_prefix="job"
        )
        self._stopping = False
        self._evacuate_at = float("-inf")
        self._attempts_by_job: Counter[str] = Counter()
        # Jobs whose takeover is in progress.
        self._adopting: set[str] = set()
        # Jobs that the store may assign to this instance but that don't run
        # here, with the samples that their previous holder sent.
        self._unfinished_takeovers: dict[str, SavedSamples] = {}

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {
            ACCEPT_METHOD: self._serve_accept,
            ADOPT_METHOD: self._serve_adopt,
            ASSIGNED_METHOD: self._serve_assigned,
            END_METHOD: self._serve_end,
            HOLDS_METHOD: self._serve_holds,
            ITEM_METHOD: self._serve_item,
            TAKE_OVER_METHOD: self._serve_take_over,
            RESULTS_METHOD: self._serve_results,
            ENDED_RESULTS_METHOD: self._serve_ended_results,
        }

    def submit(
        self,
        contents: JobContents,
        route: ForwardRoute,
        deadline: float,
        requester: Requester = UNCHECKED,
    ) -> None:
        """Persists a job and starts it; submitting it again does nothing.

        Raises:
            HibiscusError: `STOPPING` if the instance is stopping,
                `STORE_UNAVAILABLE` if the job was certainly not accepted,
                `OUTCOME_UNKNOWN` if it may have been accepted, `NOT_FOUND` or
                `NO_TOKEN` if a job of this id exists that the requester may
                not use.
        """
        local = self._job_by_id.get(contents.job)
        if local is not None:
            stored = local.stored
        else:
            with self._attempt(contents.job):
                stored = self._place(contents, route, deadline)
        _check_access(contents.job, stored.head, requester)

    @contextlib.contextmanager
    def _attempt(self, job: str) -> Iterator[None]:
        """Counts an attempt to accept a job while a block runs.

        An attempt that is refused says nothing of earlier ones of which the
        store may still take a write.
        """
        with self._lock:
            is_repeated = (
                job in self._attempts_by_job
                or job in self._unfinished_takeovers
            )
            self._attempts_by_job[job] += 1
        try:
            with _refused_truthfully(may_be_accepted=is_repeated):
                yield
        finally:
            with self._lock:
                self._attempts_by_job[job] -= 1
                if not self._attempts_by_job[job]:
                    del self._attempts_by_job[job]

    def _place(
        self, contents: JobContents, route: ForwardRoute, deadline: float
    ) -> StoredHead:
        """Has a job accepted by its preferred holder, or accepts it here."""
        if self._must_wait_for_upgrade(contents):
            # It may have been accepted before an older build came back.
            return self._find_before_upgrade(contents.job)
        accepted: bool | None = False
        for holder in self._holders_to_ask(contents.model):
            accepted, stored = self._request_acceptance(holder, contents)
            if stored is not None:
                return stored
            if accepted is None:
                break
        with _refused_truthfully(may_be_accepted=accepted is None):
            return self._accept(contents, route, deadline)

    def _must_wait_for_upgrade(self, contents: JobContents) -> bool:
        return (
            bool(contents.organisation)
            and self._formats is not None
            and not self._formats.may_name_organisation()
        )

    def _find_before_upgrade(self, job: str) -> StoredHead:
        """Returns the head of a job that was accepted before.

        Raises:
            HibiscusError: `UPGRADE_IN_PROGRESS` if there is no such job.
        """
        try:
            return self._head(job)
        except HibiscusError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
            raise HibiscusError(
                ErrorKind.UPGRADE_IN_PROGRESS,
                "A live instance runs a build that can't read a job of an "
                "organisation.",
            ) from error

    def able_holders(
        self, organisation: str, members: Mapping[str, LiveInstance]
    ) -> dict[str, LiveInstance]:
        """Returns the instances that can decode a job of an organisation.

        Args:
            organisation: The organisation; empty for none.
            members: The instances to choose from.
        """
        if not organisation or self._formats is None:
            return dict(members)
        return self._formats.readers(members)

    def _holders_to_ask(self, model: str) -> list[LiveInstance]:
        """Returns the instances that should hold a job rather than this one."""
        others = self._instances.others()
        suspects = self.suspects()
        if self._reach.is_doubtful:
            return [member for member in others if member.name not in suspects]
        own = self._instances.member
        holder = holders.preferred_holder(model, own, others, suspects)
        return [holder] if holder != own else []

    def _request_acceptance(
        self, holder: LiveInstance, contents: JobContents
    ) -> tuple[bool | None, StoredHead | None]:
        """Asks another instance to accept and hold a job.

        Returns:
            Whether it accepted the job, None if it may still accept it; and
            the job's head if it did.
        """
        try:
            body = self._peers.call(
                holder.address,
                ACCEPT_METHOD,
                msgspec.msgpack.encode(trim_default(contents)),
                ACCEPT_CALL_TIMEOUT_S,
            )
        except PeerUnreachableError as error:
            accepted, reason = None, str(error)
        except HibiscusError as error:
            certain = error.kind in CERTAIN_REFUSALS
            accepted, reason = (False if certain else None), str(error)
        else:
            stored = msgspec.msgpack.decode(body, type=StoredHead)
            self._head_by_id[contents.job] = stored
            return True, stored
        _log.info(
            "Preferred holder did not accept a job.",
            extra={
                "job": contents.job,
                "holder": holder.name,
                "applied": accepted,
                "reason": reason,
            },
        )
        return accepted, None

    def _serve_accept(self, body: bytes) -> bytes:
        contents = msgspec.msgpack.decode(body, type=JobContents)
        local = self._job_by_id.get(contents.job)
        if local is not None:
            return msgspec.msgpack.encode(local.stored)
        with self._attempt(contents.job):
            stored = self._accept_for_peer(contents)
        return msgspec.msgpack.encode(stored)

    def _accept_for_peer(self, contents: JobContents) -> StoredHead:
        may_hold = holders.may_hold_more(len(self.open_jobs()))
        if self._reach.is_doubtful or not may_hold:
            raise _not_holder(contents.job)
        route_and_service = self._dependencies.route_of(contents)
        if route_and_service is None:
            raise _not_holder(contents.job)
        # Longer than the caller waits: a job whose creation took effect must be
        # found and run here, since its head names this instance.
        deadline = self._clock.monotonic() + ACCEPT_TIMEOUT_S
        return self._accept(
            contents, route_and_service[0], deadline, retry_refused=False
        )

    def _accept(
        self,
        contents: JobContents,
        route: ForwardRoute,
        deadline: float,
        *,
        retry_refused: bool = True,
    ) -> StoredHead:
        """Persists a job and starts it here unless it exists.

        Args:
            contents: The job.
            route: Its route.
            deadline: When the trainer stops waiting, in monotonic time.
            retry_refused: Whether to try again while the store certainly did
                not take the job; a caller that tries itself need not wait.
        """
        if self._stopping:
            raise HibiscusError(ErrorKind.STOPPING, "The instance is stopping.")
        if not self._make_room(contents.size_bytes):
            return self._find_accepted(contents)
        member = self._instances.member
        head: JobHead = {
            "holder": member.name,
            "term": member.term,
            "parts": 0,
            "total": len(contents.items),
            "submitted_at": self._clock.wall(),
            "ended": False,
            "done": False,
        }
        if contents.organisation:
            head["organisation"] = contents.organisation
        if route.public:
            head["public"] = True
        stored = self._create(contents, head, deadline, retry_refused)
        created_here = stored.head["submitted_at"] == head["submitted_at"]
        if created_here and self._is_held_here(stored.head):
            self._start(
                LocalJob(contents, stored, (), route, self._dependencies)
            )
        elif self._is_held_here(stored.head):
            # An earlier attempt created it, and did not learn of that.
            self._finish_later(contents.job)
        _log.info(
            "Job accepted.",
            extra={
                "job": contents.job,
                "organisation": contents.organisation,
                "model": contents.model,
                "oldest_version": contents.oldest_version,
                "required_groups": contents.required_groups,
                "items": len(contents.items),
                "holder": stored.head["holder"],
                "revision": stored.revision,
            },
        )
        return stored

    def _make_room(self, size_bytes: int) -> bool:
        """Returns whether a job may be held; drops ended ones if it must.

        The results of ended jobs are read from the store then.
        """
        excess_bytes = self._held_bytes + size_bytes - self._max_held_bytes
        if excess_bytes <= 0:
            return True
        ended_by_id = {
            job: local
            for job, local in list(self._job_by_id.items())
            if local.released or local.stored.head["ended"]
        }
        ended = [
            holders.EndedJob(
                job,
                local.stored.head["submitted_at"],
                local.contents.size_bytes,
            )
            for job, local in ended_by_id.items()
        ]
        for job in holders.jobs_to_drop(ended, excess_bytes):
            self._drop(job, ended_by_id[job])
            _log.info("Ended job dropped for a new one.", extra={"job": job})
        return self._held_bytes + size_bytes <= self._max_held_bytes

    def _find_accepted(self, contents: JobContents) -> StoredHead:
        """Returns the head of a job that was accepted before.

        Raises:
            HibiscusError: `OVERLOADED` if it was not, `STORE_UNAVAILABLE`.
        """
        try:
            return self._head(contents.job)
        except HibiscusError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
        raise HibiscusError(
            ErrorKind.OVERLOADED,
            f"The instance holds jobs of {self._held_bytes} bytes and can't "
            f"hold {contents.size_bytes} bytes more.",
        )

    def _create(
        self,
        contents: JobContents,
        head: JobHead,
        deadline: float,
        retry_refused: bool,
    ) -> StoredHead:
        end = min(deadline, self._clock.monotonic() + ACCEPT_TIMEOUT_S)
        applied: bool | None = False
        while True:
            try:
                return self._store.create(contents, head, end)
            except StoreError as error:
                if error.applied is None:
                    applied = None
                reason = str(error)
            if applied is False and not retry_refused:
                break
            if self._clock.monotonic() + ACCEPT_RETRY_S >= end:
                break
            time.sleep(ACCEPT_RETRY_S)
        _log.warning(
            "Job not accepted: the store did not confirm it in time.",
            extra={
                "job": contents.job,
                "applied": applied,
                "reason": reason,
            },
        )
        kind = ErrorKind.STORE_UNAVAILABLE
        if applied is None:
            kind = ErrorKind.OUTCOME_UNKNOWN
            self._finish_later(contents.job)
        raise HibiscusError(kind, "The store did not confirm the new job.")

    def _is_held_here(self, head: JobHead) -> bool:
        member = self._instances.member
        return head["holder"] == member.name and head["term"] == member.term

    def _start(self, job: LocalJob) -> None:
        with self._lock:
            running = self._job_by_id.get(job.contents.job)
            if running is not None and not running.released:
                return
            self._job_by_id[job.contents.job] = job
            self._held_bytes = self._sum_held()
        self._control_threads.submit(job.run)

    def results(
        self,
        job: str,
        after: int,
        wait_s: float,
        requester: Requester = UNCHECKED,
        client_left: Callable[[], bool] = lambda: False,
    ) -> JobResults:
        """Returns results from an index on; waits up to `wait_s` for the first.

        Raises:
            HibiscusError: `NOT_FOUND` if there is no such job for the
                requester, `NO_TOKEN` if it needs a key, `STORE_UNAVAILABLE`
                if the store could not be read, `CANCELLED` if the client has
                left.
        """
        request = ResultsRequest(job, after, wait_s)
        waited_until = self._clock.monotonic() + wait_s
        local = self._held(job)
        if local is not None:
            _check_access(job, local.stored.head, requester)
            found = self._local_results(request)
            if found is not None:
                return found
            wait_s = max(0.0, waited_until - self._clock.monotonic())
            request = request._replace(wait_s=wait_s)
        deadline = waited_until + READ_SLACK_S
        stored = self._permitted_head(job, requester, deadline)
        is_current = stored.head["ended"]
        try:
            results = self._reader.read(
                request,
                stored,
                self._remote_holder(stored.head),
                deadline,
                client_left,
            )
            is_current |= results.source is ResultSource.HOLDER
        finally:
            if not is_current:
                self._head_by_id.pop(job, None)
        return results

    def _local_results(self, request: ResultsRequest) -> JobResults | None:
        local = self._held(request.job)
        if local is None:
            return None
        until = self._clock.monotonic() + request.wait_s
        rows, holds = local.results(request.after, until)
        if not holds:
            self._drop(request.job, local)
            return None
        return JobResults(len(local.contents.items), limit_size(rows))

    def item_body(
        self, job: str, item: str, requester: Requester = UNCHECKED
    ) -> bytes:
        """Returns the request body of an item of a job that has not ended.

        Raises:
            HibiscusError: `NOT_FOUND` if there is no such item or the job has
                ended; otherwise as for `results`.
        """
        local = self._held(job)
        if local is not None and not local.stored.head["ended"]:
            _check_access(job, local.stored.head, requester)
            return _body_of(local.contents, item)
        head = self._permitted_head(job, requester).head
        if not head["ended"]:
            body = self._remote_body(head, job, item)
            if body is not None:
                return body
            self._head_by_id.pop(job, None)
            head = self._head(job).head
        if head["ended"]:
            raise HibiscusError(ErrorKind.NOT_FOUND, f"Job {job} has ended.")
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        try:
            contents = self._store.contents(job, head["parts"], deadline)
        except StoreError as error:
            raise _store_unavailable(error) from error
        return _body_of(contents, item)

    def _remote_body(self, head: JobHead, job: str, item: str) -> bytes | None:
        """Returns an item's body from a live holder; None if that fails."""
        member = self._remote_holder(head)
        if member is None:
            return None
        request = msgspec.msgpack.encode(_ItemRequest(job, item))
        try:
            return self._peers.call(
                member.address, ITEM_METHOD, request, PEER_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Item body not read from the job's holder.",
                extra={"job": job, "item": item, "reason": str(error)},
            )
            return None

    def end(self, job: str, requester: Requester = UNCHECKED) -> None:
        """Ends a job; a repeated call does nothing.

        Raises:
            HibiscusError: As for `results`.
        """
        local = self._held(job)
        asked = None
        if local is not None:
            _check_access(job, local.stored.head, requester)
        else:
            head = self._permitted_head(job, requester).head
            asked = self._remote_holder(head)
            if asked is not None and self._request_end(asked, job):
                return
        try:
            self._mark_ended(job, local, asked)
        except StoreError as error:
            # A holder that heard of it finishes the end later.
            raise _store_unavailable(error, ExecutionStatus.UNKNOWN) from error

    def finish_ends(self) -> None:
        """Finishes ends of jobs of this instance that the store didn't confirm.

        Such a job has stopped here already, so nobody else would end or run it.
        While the store does not respond directly, they are left for later.

        Raises:
            StoreError: The store could not be reached.
        """
        if not self._store_is_reachable():
            return
        for job in self._ends.unconfirmed():
            try:
                self._mark_ended(job, self._held(job), None)
            except HibiscusError as error:
                _log.info(
                    "End of a job not finished: the job does not exist.",
                    extra={"job": job, "reason": str(error)},
                )

    def _request_end(self, member: LiveInstance, job: str) -> bool:
        request = msgspec.msgpack.encode(job)
        try:
            self._peers.call(
                member.address, END_METHOD, request, PEER_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError):
            return False
        finally:
            self._head_by_id.pop(job, None)
        return True

    def _mark_ended(
        self, job: str, local: LocalJob | None, asked: LiveInstance | None
    ) -> None:
        """Ends a job in the store, and at the holder that the store names.

        Args:
            job: The job's id.
            local: The job, if this instance holds it or held it.
            asked: The instance that did not respond as its holder, if any.

        Raises:
            HibiscusError: `NOT_FOUND` if there is no such job.
            StoreError: The store could not be reached.
        """
        if local is not None:
            local.stop()
        try:
            stored = self._ends.mark(job, local.stored if local else None)
        except StoreError:
            if local is not None:
                self._ends.finish_later(job)
            raise
        if local is not None:
            local.stored = stored
        # Without this call the holder goes on until it reads the head again.
        holder = self._remote_holder(stored.head)
        if holder is not None and holder != asked:
            self._request_end(holder, job)
        self._head_by_id[job] = stored
        _log.info(
            "Job ended.",
            extra={
                "job": job,
                "organisation": stored.head.get("organisation", ""),
                "holder": stored.head["holder"],
            },
        )

    def adopt(
        self,
        job: str,
        sent: SavedSamples | None = None,
        *,
        from_itself: bool = False,
        only_assigned: bool = False,
    ) -> bool:
        """Takes over a job from the store; returns whether it is held here.

        Args:
            job: The job's id.
            sent: The unpublished samples, as the previous holder sent them.
            from_itself: Whether this instance has just stopped the job. The
                new head fences what that one still writes.
            only_assigned: Whether to leave a job alone that the store does
                not assign to this instance.

        Raises:
            StoreError: The store could not be reached.
        """
        with self._lock:
            local = self._job_by_id.get(job)
            if local is not None and not local.released:
                return True
            if self._stopping:
                return False
            if job in self._adopting:
                return True
            self._adopting.add(job)
        try:
            return self._adopt(
                job, sent or SavedSamples(), from_itself, only_assigned
            )
        finally:
            with self._lock:
                self._adopting.discard(job)

    def _adopt(
        self,
        job: str,
        sent: SavedSamples,
        from_itself: bool,
        only_assigned: bool,
    ) -> bool:
        deadline = self._clock.monotonic() + ADOPT_TIMEOUT_S
        stored = self._store.head(job, deadline)
        if stored is None or stored.head["ended"] or stored.head["done"]:
            return False
        is_assigned = self._is_held_here(stored.head)
        if only_assigned and not is_assigned:
            return False
        contents = self._store.contents(job, stored.head["parts"], deadline)
        route_and_service = self._dependencies.route_of(contents)
        if route_and_service is None:
            _log.info(
                "Job not taken over: no route for it is known here.",
                extra={"job": job, "host": contents.host},
            )
            return False
        previous_holder = stored.head["holder"]
        if from_itself or not is_assigned:
            member = self._instances.member
            head: JobHead = {
                **stored.head,
                "holder": member.name,
                "term": member.term,
            }
            try:
                stored = self._store.replace_head(job, stored, head, deadline)
            except FencedError:
                return False
            except StoreError:
                # The write may take effect without a response.
                self._finish_later(job, sent)
                raise
        try:
            published = self._store.results(job, deadline)
            saved = self._store.load_samples(job, deadline)
        except StoreError:
            # Nobody else takes the job over from this live instance.
            self._finish_later(job, sent)
            raise
        saved = SavedSamples(saved_samples.merge(saved.by_name, sent.by_name))
        local = LocalJob(
            contents,
            stored,
            published,
            route_and_service[0],
            self._dependencies,
            saved,
        )
        self._start(local)
        _log.info(
            "Job taken over.",
            extra={
                "job": job,
                "organisation": contents.organisation,
                "from": previous_holder,
                "listed": len(published),
                "samples_begun": len(saved.by_name),
                "samples_complete": len(saved.score_by_name()),
            },
        )
        return True

    def _finish_later(self, job: str, sent: SavedSamples | None = None) -> None:
        """Notes a job that the store may assign to this instance."""
        self._unfinished_takeovers.setdefault(job, sent or SavedSamples())

    def finish_takeovers(self) -> None:
        """Runs the jobs whose assignment to this instance was not confirmed.

        Raises:
            StoreError: The store could not be reached.
        """
        for job in list(self._unfinished_takeovers):
            sent = self._unfinished_takeovers.pop(job)
            try:
                self.adopt(job, sent, only_assigned=True)
            except StoreError:
                self._finish_later(job, sent)
                raise

    def confirm_assigned(
        self, member: LiveInstance, jobs: Sequence[str]
    ) -> None:
        """Tells a live instance which unfinished jobs the store assigns to it.

        An instance may not know that: the answer to a write was lost, a write
        took effect late, or the thread of a job failed.
        """
        if member.name == self._instances.member.name:
            self._take_up_assigned(jobs)
            return
        body = msgspec.msgpack.encode(jobs)
        try:
            self._peers.call(
                member.address, ASSIGNED_METHOD, body, ASSIGNED_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Instance was not told which jobs are assigned to it.",
                extra={"peer": member.name, "reason": str(error)},
            )

    def _take_up_assigned(self, jobs: Sequence[str]) -> None:
        # An isolated instance hands its jobs over.
        if self._stopping or self._reach.is_isolated:
            return
        for job in jobs:
            local = self._job_by_id.get(job)
            if local is None or local.released:
                _log.warning(
                    "Job is assigned to this instance but does not run here.",
                    extra={"job": job},
                )
                self._finish_later(job)

    def own_unfinished(self) -> list[str]:
        """Returns the jobs that this instance held before it restarted.

        Raises:
            StoreError: The store could not be reached.
        """
        deadline = self._clock.monotonic() + ADOPT_TIMEOUT_S
        name = self._instances.member.name
        return [
            job.job
            for job, _ in self._store.heads(deadline)
            if job.unfinished and job.holder == name
        ]

    def hand_over(self, deadline: float = math.inf) -> None:
        """Hands all unfinished jobs and their events to other instances.

        Args:
            deadline: When to leave the rest to the recovery of orphaned jobs,
                in monotonic time.
        """
        self._stopping = True
        jobs_by_holder: dict[str, int] = {}
        for _, local in self._unfinished():
            saved = local.stop_for_handover()
            self._hand_over_job(local, saved, jobs_by_holder, deadline)

    def _unfinished(self) -> list[tuple[str, LocalJob]]:
        return [
            (job, local)
            for job, local in list(self._job_by_id.items())
            if not (local.stopped or local.done)
        ]

    def evacuate(self) -> None:
        """Hands jobs over while this instance reaches no target.

        A job that no other instance takes is continued here.

        Raises:
            StoreError: The store could not be reached.
        """
        if not self._reach.is_isolated or self._stopping:
            return
        now = self._clock.monotonic()
        if now < self._evacuate_at:
            return
        self._evacuate_at = now + EVACUATION_PERIOD_S
        jobs_by_holder: dict[str, int] = {}
        for job, local in self._unfinished():
            saved = local.stop_for_handover()
            is_taken = self._hand_over_job(local, saved, jobs_by_holder)
            self._drop(job, local)
            if not is_taken:
                self._finish_later(job, saved)
                self.adopt(job, saved, from_itself=True)
                self._unfinished_takeovers.pop(job, None)

    def _hand_over_job(
        self,
        local: LocalJob,
        saved: SavedSamples,
        jobs_by_holder: dict[str, int],
        deadline: float = math.inf,
    ) -> bool:
        """Hands a job over; returns whether another instance has it."""
        job = local.contents.job
        members = self._instances.members()
        members.pop(self._instances.member.name, None)
        members = self.able_holders(local.contents.organisation, members)
        request = TakeoverRequest(job, saved)
        encoded = takeover_requests.encode(request)
        refused = self.suspects()
        while member := recovery.choose_holder(
            job, members, jobs_by_holder, refused
        ):
            if self._clock.monotonic() >= deadline:
                break
            jobs_by_holder[member.name] = jobs_by_holder.get(member.name, 0) + 1
            if self._request_takeover(member, request, encoded, deadline):
                _log.info(
                    "Job handed over.",
                    extra={"job": job, "to": member.name},
                )
                return True
            refused.append(member.name)
        _log.warning(
            "Job not handed over: no instance accepted it.",
            extra={"job": job},
        )
        return False

    def _request_takeover(
        self,
        member: LiveInstance,
        request: TakeoverRequest,
        encoded: bytes,
        deadline: float,
    ) -> bool:
        """Asks an instance to take a job over; returns whether it did."""
        try:
            return self._call_adoption(
                member, TAKE_OVER_METHOD, encoded, deadline
            )
        except HibiscusError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                self._log_refusal(member, error)
                return False
        # An earlier build, which does not know the method.
        earlier = takeover_requests.encode_earlier(request)
        return self._request_adoption(member, earlier, deadline)

    def _request_adoption(
        self,
        member: LiveInstance,
        request: bytes,
        deadline: float = math.inf,
    ) -> bool:
        try:
            return self._call_adoption(member, ADOPT_METHOD, request, deadline)
        except HibiscusError as error:
            self._log_refusal(member, error)
            return False

    def _call_adoption(
        self,
        member: LiveInstance,
        method: str,
        request: bytes,
        deadline: float,
    ) -> bool:
        """Sends a request to take a job over; returns whether it was done.

        Raises:
            HibiscusError: The instance refused it.
        """
        left_s = deadline - self._clock.monotonic()
        try:
            body = self._peers.call(
                member.address, method, request, min(ADOPT_TIMEOUT_S, left_s)
            )
        except PeerUnreachableError as error:
            self._log_refusal(member, error)
            return False
        return msgspec.msgpack.decode(body, type=bool)

    def _log_refusal(self, member: LiveInstance, error: Exception) -> None:
        _log.info(
            "Request to adopt a job failed.",
            extra={"peer": member.name, "reason": str(error)},
        )

    def suspects(self) -> list[str]:
        """Returns the instances that have not responded to a recent call."""
        return [
            name
            for name, member in self._instances.members().items()
            if self._peers.is_suspect(member.address)
        ]

    def assign(self, job: str, member: LiveInstance) -> bool:
        """Assigns an orphaned job; returns whether the instance adopted it."""
        if member.name == self._instances.member.name:
            return self.adopt(job)
        request = takeover_requests.encode_earlier(
            TakeoverRequest(job, SavedSamples())
        )
        return self._request_adoption(member, request)

    def is_held_by(self, member: LiveInstance, job: str) -> bool:
        """Queries whether an instance holds a job; False if unreachable."""
        if member.name == self._instances.member.name:
            return self._runs(job)
        request = msgspec.msgpack.encode(job)
        try:
            body = self._peers.call(
                member.address, HOLDS_METHOD, request, HOLDS_QUERY_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError):
            return False
        return msgspec.msgpack.decode(body, type=bool)

    def open_jobs(self) -> list[LocalJob]:
        """Returns the jobs of this instance that still run samples."""
        return [
            local
            for local in list(self._job_by_id.values())
            if not local.stopped
        ]

    def drop_expired(self, submitted_before: float) -> None:
        """Drops stopped jobs whose results have expired."""
        for job, local in list(self._job_by_id.items()):
            submitted_at = local.stored.head["submitted_at"]
            if local.stopped and submitted_at < submitted_before:
                self._drop(job, local)

    def stop(self) -> None:
        """Stops all jobs and waits for their control threads."""
        for local in list(self._job_by_id.values()):
            local.stop()
        self._control_threads.shutdown()

    def _permitted_head(
        self, job: str, requester: Requester, deadline: float | None = None
    ) -> StoredHead:
        """Returns the head of a job that the requester may use."""
        try:
            stored = self._head(job, deadline)
        except HibiscusError as error:
            # Without a key nobody learns which jobs exist.
            if error.kind is ErrorKind.NOT_FOUND and requester.lacks_key:
                raise _key_required() from error
            raise
        _check_access(job, stored.head, requester)
        return stored

    def _head(self, job: str, deadline: float | None = None) -> StoredHead:
        """Returns a job's head, cached until its holder fails to respond.

        A stale entry does no harm: a replaced holder responds `NOT_HOLDER`.
        """
        cached = self._head_by_id.get(job)
        if cached is not None:
            return cached
        latest = self._clock.monotonic() + STORE_TIMEOUT_S
        end = latest if deadline is None else min(deadline, latest)
        try:
            stored = self._store.head(job, end)
        except StoreError as error:
            raise _store_unavailable(error) from error
        if stored is None:
            raise HibiscusError(
                ErrorKind.NOT_FOUND, f"Job {job} does not exist."
            )
        self._head_by_id[job] = stored
        return stored

    def _remote_holder(self, head: JobHead) -> LiveInstance | None:
        """Returns a job's holder if it is another live instance."""
        member = self._instances.members().get(head["holder"])
        own = self._instances.member.name
        if member is None or member.name == own:
            return None
        return member if member.term == head["term"] else None

    def _held(self, job: str) -> LocalJob | None:
        """Returns a job that this instance holds; drops a released one.

        A released job may have another holder, so nothing that its copy here
        says is certain.
        """
        local = self._job_by_id.get(job)
        if local is not None and local.released:
            self._drop(job, local)
            return None
        return local

    def _runs(self, job: str) -> bool:
        local = self._job_by_id.get(job)
        return local is not None and not local.stopped

    def _drop(self, job: str, local: LocalJob) -> None:
        with self._lock:
            if self._job_by_id.get(job) is local:
                del self._job_by_id[job]
                self._held_bytes = self._sum_held()
        self._head_by_id.pop(job, None)

    def _sum_held(self) -> int:
        return sum(
            local.contents.size_bytes for local in self._job_by_id.values()
        )

    def _serve_results(self, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=ResultsRequest)
        results = self._results_for_peer(request)
        local = self._held(request.job)
        ended = local is not None and local.stored.head["ended"]
        if not result_reads.sends_results(
            ended, results.size_bytes, self._store_is_reachable()
        ):
            raise _not_holder(request.job)
        return _encode_results(results)

    def _serve_ended_results(self, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=ResultsRequest)
        return _encode_results(self._results_for_peer(request))

    def _results_for_peer(self, request: ResultsRequest) -> JobResults:
        results = self._local_results(request)
        if results is None:
            raise _not_holder(request.job)
        return results

    def _serve_item(self, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=_ItemRequest)
        local = self._held(request.job)
        if local is None or local.stored.head["ended"]:
            raise _not_holder(request.job)
        return _body_of(local.contents, request.item)

    def _serve_end(self, body: bytes) -> bytes:
        job = msgspec.msgpack.decode(body, type=str)
        local = self._held(job)
        if local is None:
            raise _not_holder(job)
        try:
            self._mark_ended(job, local, None)
        except StoreError as error:
            raise _store_unavailable(error, ExecutionStatus.UNKNOWN) from error
        return b""

    def _serve_holds(self, body: bytes) -> bytes:
        job = msgspec.msgpack.decode(body, type=str)
        return msgspec.msgpack.encode(self._runs(job))

    def _serve_assigned(self, body: bytes) -> bytes:
        self._take_up_assigned(msgspec.msgpack.decode(body, type=list[str]))
        return b""

    def _serve_adopt(self, body: bytes) -> bytes:
        return self._adopt_for_peer(takeover_requests.decode_earlier(body))

    def _serve_take_over(self, body: bytes) -> bytes:
        return self._adopt_for_peer(takeover_requests.decode(body))

    def _adopt_for_peer(self, request: TakeoverRequest) -> bytes:
        if self._reach.is_doubtful and self._held(request.job) is None:
            return msgspec.msgpack.encode(False)
        try:
            adopted = self.adopt(request.job, request.samples)
        except StoreError as error:
            raise _store_unavailable(error) from error
        return msgspec.msgpack.encode(adopted)


def _check_access(job: str, head: JobHead, requester: Requester) -> None:
    """Checks that a requester may use a job.

    Raises:
        HibiscusError: `NO_TOKEN` if it needs a key; `NOT_FOUND` if the job
            belongs to another organisation.
    """
    owner, is_public = head.get("organisation", ""), head.get("public", False)
    access = job_access(requester, owner, is_public)
    if access is JobAccess.KEY_REQUIRED:
        raise _key_required()
    if access is JobAccess.HIDDEN:
        raise HibiscusError(ErrorKind.NOT_FOUND, f"Job {job} does not exist.")


@contextlib.contextmanager
def _refused_truthfully(*, may_be_accepted: bool) -> Iterator[None]:
    """Turns errors that say "not run" into `OUTCOME_UNKNOWN` within a block.

    Args:
        may_be_accepted: Whether something that was done before may still have
            the job accepted; otherwise errors stay as they are.
    """
    try:
        yield
    except HibiscusError as error:
        if not may_be_accepted or error.ran is not ExecutionStatus.NO:
            raise
        raise HibiscusError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"An earlier attempt to accept the job may take effect. "
            f"{error.detail}",
        ) from error


def _key_required() -> HibiscusError:
    return HibiscusError(
        ErrorKind.NO_TOKEN, "The job can't be used without a key."
    )


def _store_unavailable(
    error: StoreError, ran: ExecutionStatus = ExecutionStatus.NO
) -> HibiscusError:
    return HibiscusError(
        ErrorKind.STORE_UNAVAILABLE, f"The store is unavailable: {error}", ran
    )


def _not_holder(job: str) -> HibiscusError:
    return HibiscusError(
        ErrorKind.NOT_HOLDER, f"This instance does not hold job {job}."
    )


def _body_of(contents: JobContents, item: str) -> bytes:
    for row in contents.items:
        if row.name == item:
            return row.body
    raise HibiscusError(
        ErrorKind.NOT_FOUND, f"Job {contents.job} has no item {item}."
    )


def _encode_results(results: JobResults) -> bytes:
    rows = [trim_default(row) for row in results.results]
    return msgspec.msgpack.encode((results.total, rows))
