"""Reads the results of jobs that other instances hold, or held."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import result_reads
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.result_reads import ResultSource
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import PeerHttpClient, PeerUnreachableError
from hibiscuspin.tasks.job_store import ItemResult, JobStore, StoredHead

__all__ = [
    "ENDED_RESULTS_METHOD",
    "RESULTS_METHOD",
    "JobResults",
    "ResultReader",
    "ResultsRequest",
    "limit_size",
]

RESULTS_METHOD = "jobs.results"
# As `RESULTS_METHOD`, but a holder also sends what can be read from the store.
# Builds without the method respond that it is not found.
ENDED_RESULTS_METHOD = "jobs.ended-results"

# If the holder is silent for this long after the wait, or has not sent all in
# the second time, the store is read in the rest of the reader's time.
HOLDER_STALL_S = 0.4
HOLDER_TRANSFER_S = 0.8
# Leaves time to ask the holder after the store.
FIRST_STORE_READ_S = 0.7
# Responses to readers are limited to 1 MB; JSON escaping adds little to the
# size of these texts.
MAX_RESPONSE_BYTES = 900_000

_log = get_logger("rollouts")


class JobResults(NamedTuple):
    """Results of a job from an index on.

    Attributes:
        total: The job's number of items.
        results: The results.
        source: Where they were read; other instances do not send it.
    """

    total: int
    results: Sequence[ItemResult]
    source: ResultSource = ResultSource.LOCAL

    @property
    def size_bytes(self) -> int:
        """The size of the results' texts."""
        return sum(len(row.text) for row in self.results)


class ResultsRequest(NamedTuple):
    """A request to the holder for results from an index on."""

    job: str
    after: int
    wait_s: float


class _Limits(NamedTuple):
    """Limits on a call to the holder; the deadline is for all of it."""

    deadline: float
    stall_s: float


class _Read(NamedTuple):
    """One read, and when its client has to have the response."""

    request: ResultsRequest
    deadline: float
    client_left: Callable[[], bool]

    def check(self) -> None:
        if self.client_left():
            raise HibiscusError(
                ErrorKind.CANCELLED, "The caller has disconnected."
            )


class ResultReader:
    """Reads results from a job's holder or from the store."""

    def __init__(
        self,
        store: JobStore,
        peers: PeerHttpClient,
        clock: Clock,
        store_is_reachable: Callable[[], bool],
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._store_is_reachable = store_is_reachable

    def read(
        self,
        request: ResultsRequest,
        stored: StoredHead,
        holder: LiveInstance | None,
        deadline: float,
        client_left: Callable[[], bool],
    ) -> JobResults:
        """Reads results from an index on.

        Args:
            request: What to read.
            stored: The job's head; an old one does no harm.
            holder: The instance that holds the job by this head, if it is
                another live one.
            deadline: When the client has to have the response, in monotonic
                time.
            client_left: Returns whether the caller has disconnected.

        Raises:
            HibiscusError: `NOT_FOUND` if the job no longer exists,
                `STORE_UNAVAILABLE` if neither the holder nor the store
                responded, `CANCELLED` if the caller has disconnected.
        """
        read = _Read(request, deadline, client_left)
        if stored.head["ended"]:
            return self._read_ended(read, stored, holder)
        if holder is not None:
            try:
                return self._call_holder(
                    holder, RESULTS_METHOD, read, self._first_limits(read)
                )
            except PeerUnreachableError:
                holder = None
            except HibiscusError as error:
                # The job may have ended, or have another holder.
                _raise_if_cancelled(error)
        return self._read_ended(read, None, holder)

    def _read_ended(
        self,
        read: _Read,
        stored: StoredHead | None,
        holder: LiveInstance | None,
    ) -> JobResults:
        """Reads results that can be read from the store as well.

        Args:
            read: The read.
            stored: The job's head; None if it may have changed.
            holder: The instance that also has the results, if it answers.
        """
        failure = HibiscusError(
            ErrorKind.STORE_UNAVAILABLE, "No results could be read."
        )
        sources = result_reads.sources(
            holder is not None, self._store_is_reachable()
        )
        for source in sources:
            read.check()
            is_last = source is sources[-1]
            try:
                if source is ResultSource.HOLDER and holder is not None:
                    return self._ask_holder_for_ended(
                        holder,
                        read,
                        self._last_limits(read)
                        if is_last
                        else self._first_limits(read),
                    )
                return self._read_store(read, stored, is_last)
            except PeerUnreachableError:
                continue
            except StoreError as error:
                failure = HibiscusError(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"The store is unavailable: {error}",
                )
            except HibiscusError as error:
                _raise_if_cancelled(error)
                if source is ResultSource.STORE:
                    raise
        raise failure

    def _first_limits(self, read: _Read) -> _Limits:
        """Returns the limits of a call that leaves time to read the store."""
        waited_until = self._clock.monotonic() + read.request.wait_s
        return _Limits(
            min(read.deadline, waited_until + HOLDER_TRANSFER_S),
            read.request.wait_s + HOLDER_STALL_S,
        )

    def _last_limits(self, read: _Read) -> _Limits:
        remaining_s = read.deadline - self._clock.monotonic()
        return _Limits(read.deadline, max(0.0, remaining_s))

    def _ask_holder_for_ended(
        self, holder: LiveInstance, read: _Read, limits: _Limits
    ) -> JobResults:
        try:
            return self._call_holder(holder, ENDED_RESULTS_METHOD, read, limits)
        except HibiscusError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
        return self._call_holder(holder, RESULTS_METHOD, read, limits)

    def _call_holder(
        self,
        holder: LiveInstance,
        method: str,
        read: _Read,
        limits: _Limits,
    ) -> JobResults:
        timeout_s = limits.deadline - self._clock.monotonic()
        try:
            body = self._peers.call(
                holder.address,
                method,
                msgspec.msgpack.encode(read.request),
                timeout_s,
                stall_s=limits.stall_s,
                check=read.check,
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Results not read from the job's holder.",
                extra={
                    "job": read.request.job,
                    "holder": holder.name,
                    "reason": str(error),
                },
            )
            raise
        results = msgspec.msgpack.decode(body, type=JobResults)
        return results._replace(source=ResultSource.HOLDER)

    def _read_store(
        self, read: _Read, known: StoredHead | None, is_last: bool
    ) -> JobResults:
        """Reads the store; the head too, unless it is known.

        Raises:
            HibiscusError: `NOT_FOUND` if the job no longer exists.
            StoreError: The store could not be read.
        """
        job = read.request.job
        deadline = read.deadline
        if not is_last:
            now = self._clock.monotonic()
            deadline = min(deadline, now + FIRST_STORE_READ_S)
        if known is not None:
            rows = self._store.results(job, deadline)
        if known is None or not rows:
            known = self._store.head(job, deadline)
            if known is None:
                raise HibiscusError(
                    ErrorKind.NOT_FOUND, f"Job {job} does not exist."
                )
            rows = self._store.results(job, deadline)
        return JobResults(
            known.head["total"],
            limit_size(rows[read.request.after :]),
            ResultSource.STORE,
        )


def limit_size(rows: Sequence[ItemResult]) -> Sequence[ItemResult]:
    """Returns the results that fit into one response, at least one."""
    size = 0
    for count, row in enumerate(rows):
        size += len(row.text)
        if count and size > MAX_RESPONSE_BYTES:
            return rows[:count]
    return rows


def _raise_if_cancelled(error: HibiscusError) -> None:
    if error.kind is ErrorKind.CANCELLED:
        raise error
