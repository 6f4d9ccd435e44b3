"""Writes a job's results and events to the store, one call at a time.

All methods but `results` and `wake` belong to the control thread of the job.
Calls to the store run in worker threads. Their results reach the control
thread through its queue, and it passes them to `handle_call_result`.
"""

import math
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Executor
from typing import NamedTuple, TypeVar

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import job_order
from hibiscuspin.decisions.saved_samples import SavedSample
from hibiscuspin.edges import StoreError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.job_store import (
    FencedError,
    ItemResult,
    JobContents,
    JobStore,
    SavedSamples,
    StoredHead,
)
from hibiscuspin.tasks.sample_runs import Sample

__all__ = ["JobWriter", "StoreCallResult", "saved_samples"]

# A holder must notice well within 3 s that the trainer has ended the job.
VERIFY_PERIOD_S = 1.8
WRITE_TIMEOUT_S = 2.0
WRITE_RETRY_S = 0.1
# Generating a shorter sample again takes no longer than reading it back.
MIN_SAVED_EVENTS = 12
MAX_SAVED_BYTES = 500_000

T = TypeVar("T")

_log = get_logger("rollouts")


class StoreCallResult(NamedTuple):
    """The result of a call to the store.

    Attributes:
        finish: Applies the result; to be called in the control thread.
        error: Why the call failed; None if it succeeded.
    """

    finish: Callable[[], None]
    error: Exception | None


class _Chunk(NamedTuple):
    """The results of one write; fixed, so that the write can be repeated."""

    first: int
    results: tuple[ItemResult, ...]
    done: bool


class JobWriter:
    """Publishes results, saves unfinished samples and detects fencing.

    Attributes:
        stored: The head under which this instance holds the job.
    """

    def __init__(
        self,
        contents: JobContents,
        stored: StoredHead,
        published: Sequence[ItemResult],
        due_at: float,
        store: JobStore,
        workers: Executor,
        report: Callable[[StoreCallResult], None],
        clock: Clock,
    ) -> None:
        """Creates the writer.

        Args:
            contents: The job.
            stored: The job's head.
            published: Results that are already published.
            due_at: When the job's results are due, in monotonic time.
            store: The store of jobs.
            workers: The executor of calls to the store.
            report: Sends the result of a call to the control thread.
            clock: The wall and monotonic clocks.
        """
        self.stored = stored
        self._job = contents.job
        self._total = len(contents.items)
        self._due_at = due_at
        self._store = store
        self._workers = workers
        self._report = report
        self._clock = clock
        self._changed = threading.Condition()
        self._published = list(published)
        self._finished: list[ItemResult] = []
        self._finished_since = 0.0
        self._chunk_to_publish: _Chunk | None = None
        self._call_in_flight = False
        now = clock.monotonic()
        self._published_at = 0.0
        self._retry_at = 0.0
        self._saved_at = self._verified_at = now
        self._saved_progress = 0
        self._failures_recorded_at = -math.inf
        self._group_by_name = {item.name: item.group for item in contents.items}
        groups = set(self._group_by_name.values())
        self._total_groups = len(groups)
        self._required_groups = min(
            contents.required_groups or len(groups), len(groups)
        )
        self._published_names = {result.name for result in published}
        # Counts of unfinished and of unpublished items by group.
        self._unfinished_by_group = Counter(
            item.group
            for item in contents.items
            if item.name not in self._published_names
        )
        self._unpublished_by_group = Counter(self._unfinished_by_group)

    @property
    def published(self) -> list[ItemResult]:
        """The published results, in the order of their publication."""
        return self._published

    @property
    def done(self) -> bool:
        """Whether all results are published."""
        return len(self._published) == self._total

    def unfinished_in_group(self, group: str) -> int:
        """Returns how many samples of a group are unfinished."""
        return self._unfinished_by_group[group]

    @property
    def settled(self) -> bool:
        """Whether no write of results has an unknown outcome."""
        return self._chunk_to_publish is None

    def results(
        self, after: int, until: float, stopped: Callable[[], bool]
    ) -> list[ItemResult]:
        """Returns the results from an index on; waits for the first of them.

        Args:
            after: The index of the first result to return.
            until: When to stop waiting, in monotonic time.
            stopped: Returns whether the job has stopped on this instance.
        """
        with self._changed:
            while len(self._published) <= after and not stopped():
                remaining_s = until - self._clock.monotonic()
                if remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            return self._published[after:]

    def wake(self) -> None:
        """Wakes waiting readers."""
        with self._changed:
            self._changed.notify_all()

    def add_result(self, result: ItemResult) -> None:
        """Queues a finished sample's result for publication."""
        if not self._finished:
            self._finished_since = self._clock.monotonic()
        self._finished.append(result)
        self._unfinished_by_group[self._group_by_name[result.name]] -= 1

    def handle_call_result(self, call_result: StoreCallResult) -> None:
        """Handles the result of a call to the store.

        Raises:
            FencedError: The job was ended or taken over elsewhere.
        """
        self._call_in_flight = False
        error = call_result.error
        if error is None:
            call_result.finish()
        elif isinstance(error, StoreError):
            self._retry_at = self._clock.monotonic() + WRITE_RETRY_S
            _log.info(
                "Call to the store for a job failed; retrying.",
                extra={"job": self._job, "reason": str(error)},
            )
        else:
            raise error

    def start_due_call(self, samples: Sequence[Sample], now: float) -> None:
        """Starts the next due call to the store, if none is in flight.

        Args:
            samples: The job's samples that were unpublished at acceptance or
                takeover.
            now: The monotonic time.
        """
        if self._call_in_flight or now < self._retry_at:
            return
        if self._chunk_to_publish is None:
            self._chunk_to_publish = self._next_chunk(now)
        progress = sum(
            sample.progress for sample in samples if _is_worth_saving(sample)
        )
        oldest_text_at = min(
            (s.completed_at for s in samples if _is_unsaved_text(s)),
            default=math.inf,
        )
        unrecorded = len(
            self._unpublished(s for s in samples if s.has_unrecorded_failure)
        )
        if self._chunk_to_publish is not None:
            self._publish(self._chunk_to_publish)
        elif job_order.failures_due(
            unrecorded, self._failures_recorded_at, now
        ):
            self._failures_recorded_at = now
            self._record_failures(samples)
        elif job_order.save_due(
            progress - self._saved_progress, oldest_text_at, self._saved_at, now
        ):
            self._saved_at, self._saved_progress = now, progress
            self._save_samples(self._samples_to_save(samples))
        elif now - self._verified_at >= VERIFY_PERIOD_S:
            self._verify()

    def _submit(
        self, call: Callable[[float], T], finish: Callable[[T], None]
    ) -> None:
        """Runs a call to the store in a worker thread."""
        self._call_in_flight = True
        self._workers.submit(self._run_call, call, finish)

    def _run_call(
        self, call: Callable[[float], T], finish: Callable[[T], None]
    ) -> None:
        deadline = self._clock.monotonic() + WRITE_TIMEOUT_S
        try:
            result = call(deadline)
        except Exception as error:
            self._report(StoreCallResult(lambda: None, error))
        else:
            self._report(StoreCallResult(lambda: finish(result), None))

    def _publish(self, chunk: _Chunk) -> None:
        def call(deadline: float) -> StoredHead:
            return self._store.publish_results(
                self._job,
                self.stored,
                chunk.first,
                chunk.results,
                chunk.done,
                deadline,
            )

        def finish(stored: StoredHead) -> None:
            self.stored = stored
            self._chunk_to_publish = None
            self._published_at = self._verified_at = self._clock.monotonic()
            for result in chunk.results:
                self._published_names.add(result.name)
                self._unpublished_by_group[
                    self._group_by_name[result.name]
                ] -= 1
            with self._changed:
                self._published += chunk.results
                self._changed.notify_all()
            _log.info(
                "Results published.",
                extra={
                    "job": self._job,
                    "first": chunk.first,
                    "results": len(chunk.results),
                    "complete_groups": self._count_complete_groups(
                        self._unpublished_by_group
                    ),
                    "revision": stored.revision,
                },
            )

        self._submit(call, finish)

    def _save_samples(self, samples: Sequence[Sample]) -> None:
        saved = saved_samples(samples)

        def call(deadline: float) -> None:
            self._store.save_samples(self._job, self.stored, saved, deadline)

        def finish(result: None) -> None:
            self._verified_at = self._clock.monotonic()
            for sample in samples:
                record = saved.by_name[sample.item.name]
                sample.saved_complete = record.score is not None

        self._submit(call, finish)

    def _record_failures(self, samples: Sequence[Sample]) -> None:
        failed = [s for s in self._unpublished(samples) if s.has_failed]
        failures = [sample.failures for sample in failed]
        saved = SavedSamples(
            {
                sample.item.name: SavedSample(
                    errors=sample.errors, given_up=sample.given_up
                )
                for sample in failed
            }
        )

        def call(deadline: float) -> None:
            self._store.save_failures(
                self._job, self.stored, saved.runs_by_name(), deadline
            )

        def finish(result: None) -> None:
            self._verified_at = self._clock.monotonic()
            for sample, recorded in zip(failed, failures, strict=True):
                sample.recorded_failures = recorded
            _log.info(
                "Failures of samples recorded.",
                extra={
                    "job": self._job,
                    "samples": len(failed),
                    "errors": sum(row.errors for row in failures),
                    "given_up": sum(row.given_up for row in failures),
                },
            )

        self._submit(call, finish)

    def _verify(self) -> None:
        """Checks whether the job was ended or taken over elsewhere."""
        revision = self.stored.revision

        def call(deadline: float) -> StoredHead | None:
            return self._store.head(self._job, deadline)

        def finish(current: StoredHead | None) -> None:
            self._verified_at = self._clock.monotonic()
            if current is None or current.revision != revision:
                raise FencedError(current)

        self._submit(call, finish)

    def _unpublished(self, samples: Iterable[Sample]) -> list[Sample]:
        published = self._published_names
        return [s for s in samples if s.item.name not in published]

    def _samples_to_save(self, samples: Sequence[Sample]) -> list[Sample]:
        """Returns the unpublished samples that are worth a save.

        Those that failed and the complete ones go before the others, and longer
        ones before shorter ones.
        """
        unpublished = [
            s for s in self._unpublished(samples) if _is_worth_saving(s)
        ]
        unpublished.sort(
            key=lambda s: (not s.has_failed, not s.complete, -len(s.events))
        )
        fitting = []
        size = 0
        for sample in unpublished:
            size += sum(len(event.data) for event in sample.events)
            if size > MAX_SAVED_BYTES:
                break
            fitting.append(sample)
        return fitting

    def _next_chunk(self, now: float) -> _Chunk | None:
        finished = self._finished
        last = not any(self._unfinished_by_group.values())
        groups = {self._group_by_name[result.name] for result in finished}
        unpublished = job_order.UnpublishedResults(
            result_count=len(finished),
            size_bytes=sum(len(result.text) for result in finished),
            oldest_at=self._finished_since,
            completes_group=any(
                not self._unfinished_by_group[g] for g in groups
            ),
            completes_step=(
                self._count_complete_groups(self._unpublished_by_group)
                < self._required_groups
                <= self._count_complete_groups(self._unfinished_by_group)
            ),
            step_completed=(
                self._count_complete_groups(self._unpublished_by_group)
                >= self._required_groups
            ),
            last=last,
        )
        if not job_order.publish_due(
            unpublished, self._published_at, self._due_at, now
        ):
            return None
        results, rest = self._split_off_chunk(finished)
        self._finished = rest
        self._finished_since = now
        return _Chunk(len(self._published), results, last and not rest)

    def _count_complete_groups(self, count_by_group: Counter[str]) -> int:
        """Returns how many groups have no remaining items."""
        return self._total_groups - sum(n > 0 for n in count_by_group.values())

    def _split_off_chunk(
        self, finished: list[ItemResult]
    ) -> tuple[tuple[ItemResult, ...], list[ItemResult]]:
        """Splits off the results that fit into one write, at least one."""
        size = 0
        for count, result in enumerate(finished):
            size += len(result.text)
            if size > job_order.MAX_PUBLISH_BYTES and count:
                return tuple(finished[:count]), finished[count:]
        return tuple(finished), []


def _is_worth_saving(sample: Sample) -> bool:
    return (
        sample.complete
        or len(sample.events) >= MIN_SAVED_EVENTS
        or sample.has_failed
    )


def _is_unsaved_text(sample: Sample) -> bool:
    is_unscored = sample.complete and sample.score is None
    return is_unscored and not (sample.finished or sample.saved_complete)


def saved_samples(samples: Iterable[Sample]) -> SavedSamples:
    """Returns what the next holder needs in order to continue samples."""
    return SavedSamples({s.item.name: s.record() for s in samples})
