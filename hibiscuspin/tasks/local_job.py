"""A batch job that this instance holds.

One control thread owns the job. It starts sample runs in worker threads,
receives their outcomes from a queue, and passes finished results to its
`JobWriter`; readers see only results that are published in the store.
"""

import math
import queue
import threading
import time
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import Executor
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import job_order, placement, samples, scoring
from hibiscuspin.decisions.limits import Demand
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.routes import ForwardRoute
from hibiscuspin.decisions.samples import NextAction, RunOutcome
from hibiscuspin.decisions.scaling import departure
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.job_store import (
    FencedError,
    ItemResult,
    JobContents,
    JobStore,
    SavedSamples,
    StoredHead,
)
from hibiscuspin.tasks.job_writer import (
    JobWriter,
    StoreCallResult,
    saved_samples,
)
from hibiscuspin.tasks.reward_calls import RewardCaller
from hibiscuspin.tasks.sample_runs import RunLimits, Sample, SampleRun
from hibiscuspin.tasks.scoring import Scoring, ScoringRequest
from hibiscuspin.tasks.target_limits import Purpose, Send

__all__ = ["JobDependencies", "LocalJob"]

TICK_S = 0.04
MOVE_PERIOD_S = 0.25
MAX_MOVES_PER_SAMPLE = 2
STOP_POLL_S = 0.02
# Results still count as on time for this long after their due time.
DUE_GRACE_S = 0.5

_log = get_logger("rollouts")


class JobDependencies(NamedTuple):
    """Collaborators that all jobs of an instance share.

    Attributes:
        store: The store of jobs and results.
        targets: The discovered targets.
        rewards: Sends the calls that score samples.
        scoring: The queue of samples to score.
        run_executor: The executor of sample runs.
        store_executor: The executor of calls to the store.
        route_of: Returns a job's route and service; None if the route was
            removed.
        tokens_per_event: Returns how many tokens an event of a service carries.
        clock: The wall and monotonic clocks.
    """

    store: JobStore
    targets: DiscoveredTargets
    rewards: RewardCaller
    scoring: Scoring
    run_executor: Executor
    store_executor: Executor
    route_of: Callable[[JobContents], tuple[ForwardRoute, str] | None]
    tokens_per_event: Callable[[str], float]
    clock: Clock


class _RunResult(NamedTuple):
    """A finished run and its outcome, sent to the control thread."""

    run: SampleRun
    outcome: RunOutcome


class _ScoreResult(NamedTuple):
    """A sample's score, or None if it was given up."""

    sample: Sample
    score: str | None


class LocalJob:
    """A job that this instance holds, from acceptance or takeover on."""

    def __init__(
        self,
        contents: JobContents,
        stored: StoredHead,
        published: Sequence[ItemResult],
        route: ForwardRoute,
        dependencies: JobDependencies,
        saved: SavedSamples | None = None,
    ) -> None:
        self.contents = contents
        self._route = route
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._stopped = threading.Event()
        self._released = False
        self._tokens_per_event = 1.0
        self._service = ""
        self._inbox: queue.SimpleQueue[
            _RunResult | _ScoreResult | StoreCallResult | None
        ] = queue.SimpleQueue()
        age_s = max(0.0, self._clock.wall() - stored.head["submitted_at"])
        self._submitted_at = self._clock.monotonic() - age_s
        due_s = route.result_due_s + DUE_GRACE_S
        self._due_at = self._submitted_at + due_s
        self._give_up_at = self._submitted_at + route.keep_s
        self._last_move_at = 0.0
        self._moves_by_index: dict[int, int] = {}
        self._preferred_target_by_group: dict[str, str] = {}
        self._writer = JobWriter(
            contents,
            stored,
            published,
            self._due_at,
            dependencies.store,
            dependencies.store_executor,
            self._inbox.put,
            self._clock,
        )
        self._samples = self._unpublished_samples(saved or SavedSamples())

    def _unpublished_samples(self, saved: SavedSamples) -> list[Sample]:
        published_names = {result.name for result in self._writer.published}
        unpublished = []
        for index, item in enumerate(self.contents.items):
            if item.name in published_names:
                continue
            sample = Sample(index, item)
            record = saved.by_name.get(item.name)
            if record is not None:
                sample.restore(record)
            if sample.given_up:
                self._give_up_sample(sample)
            unpublished.append(sample)
        return unpublished

    @property
    def stored(self) -> StoredHead:
        """The head, with its revision, under which the job is held here."""
        return self._writer.stored

    @stored.setter
    def stored(self, stored: StoredHead) -> None:
        self._writer.stored = stored

    @property
    def stopped(self) -> bool:
        """Whether this instance no longer runs the job."""
        return self._stopped.is_set()

    @property
    def released(self) -> bool:
        """Whether the job was handed over or fenced, or its control failed."""
        return self._released

    @property
    def done(self) -> bool:
        """Whether all results are published."""
        return self._writer.done

    @property
    def service(self) -> str:
        """The service that ran its samples last; empty before the first."""
        return self._service

    def waiting_samples(self) -> int:
        """Returns how many samples wait for a slot of an engine."""
        return sum(sample.needs_run for sample in self._samples)

    def results(
        self, after: int, wait_until: float
    ) -> tuple[list[ItemResult], bool]:
        """Returns the results from an index on.

        Waits for the first of them until the monotonic time `wait_until`.

        Returns:
            The results, and whether this instance still holds the job.
        """
        writer = self._writer
        rows = writer.results(after, wait_until, self._stopped.is_set)
        # A write of unknown outcome may have published further results.
        holds = not self.stopped or (not self._released and writer.settled)
        return rows, holds

    def run(self) -> None:
        """Runs the control loop until the job is done, ended or fenced."""
        try:
            while not self.stopped:
                self._process_inbox()
                if self.stopped:
                    break
                now = self._clock.monotonic()
                if now >= self._give_up_at:
                    self._give_up_unfinished("its time limit has passed")
                self._finish_complete_samples()
                self._start_samples(now)
                self._move_off_leaving(now)
                self._move_stragglers(now)
                self._writer.start_due_call(self._samples, now)
                if self.done:
                    break
        except FencedError as fenced:
            self._stop_fenced(fenced.current)
        except Exception:
            # Readers are served from the store, which has all published
            # results.
            self._released = True
            _log.exception(
                "Control thread of a job failed.",
                extra={"job": self.contents.job},
            )
        finally:
            self.stop()

    def stop(self) -> None:
        """Stops all runs and wakes waiting readers."""
        self._stopped.set()
        for sample in self._samples:
            run = sample.run
            if run is not None:
                run.move_requested.set()
        self._writer.wake()
        self._inbox.put(None)

    def stop_runs_on_targets(
        self, names: Collection[str], until: float
    ) -> None:
        """Stops all runs on some targets; waits for their end until `until`."""
        runs = self._runs_at(names)
        for run in runs:
            run.move_requested.set()
        while self._runs_at(names) and self._clock.monotonic() < until:
            time.sleep(STOP_POLL_S)

    def _runs_at(self, names: Collection[str]) -> list[SampleRun]:
        runs = [sample.run for sample in self._samples]
        return [run for run in runs if run and run.target.name in names]

    def stop_for_handover(self) -> SavedSamples:
        """Stops all work; returns what the next holder continues with."""
        self._released = True
        self.stop()
        return saved_samples(s for s in self._samples if s.has_begun)

    def _stop_fenced(self, current: StoredHead | None) -> None:
        self._released = True
        if current is not None:
            self.stored = current
        head = current.head if current else None
        _log.info(
            "Job released: it was ended or another instance took it over.",
            extra={
                "job": self.contents.job,
                "ended": bool(head and head["ended"]),
                "holder": head["holder"] if head else "",
                "listed": len(self._writer.published),
            },
        )

    def _process_inbox(self) -> None:
        """Handles finished runs and store calls; waits for a tick at most."""
        try:
            message = self._inbox.get(timeout=TICK_S)
            while message is not None:
                if isinstance(message, _RunResult):
                    self._handle_run_end(message.run, message.outcome)
                elif isinstance(message, _ScoreResult):
                    self._handle_score(message.sample, message.score)
                else:
                    self._writer.handle_call_result(message)
                message = self._inbox.get_nowait()
        except queue.Empty:
            return

    def _handle_run_end(self, run: SampleRun, outcome: RunOutcome) -> None:
        sample = run.sample
        sample.run = None
        if self._stopped.is_set():
            return
        sample.errors += outcome is RunOutcome.ERROR
        next_action = samples.after_run(
            outcome, sample.errors, self._route.max_attempts
        )
        if outcome is not RunOutcome.WHOLE:
            sample.avoided_targets = {run.target.name}
        now = self._clock.monotonic()
        first_event_at = run.first_event_at or now
        _log.info(
            "Run of a sample ended.",
            extra={
                "job": self.contents.job,
                "organisation": self.contents.organisation,
                "request_id": sample.item.name,
                "group": sample.item.group,
                "target": run.target.name,
                "software_version": run.target.record.software_version,
                "end": outcome.name,
                "events": len(sample.events),
                "versions": sample.versions,
                "software_versions": sample.software_versions,
                "next": next_action.name,
                "took_s": round(now - run.created_at, 3),
                "first_event_s": round(first_event_at - run.created_at, 3),
                "reason": run.detail,
            },
        )
        if next_action is NextAction.LIST:
            sample.complete = True
            sample.completed_at = now
        elif next_action is NextAction.GIVE_UP:
            self._give_up_sample(sample)

    def _handle_score(self, sample: Sample, score: str | None) -> None:
        if sample.finished or self.stopped:
            return
        if score is None:
            self._give_up_sample(sample)
        else:
            sample.score = score

    def _finish_complete_samples(self) -> None:
        """Finishes scored samples, and queues the others for scoring."""
        for sample in self._samples:
            if not sample.complete or sample.finished:
                continue
            if sample.item.reward is None or sample.score is not None:
                result = ItemResult(
                    sample.item.name,
                    True,
                    sample.text,
                    sample.versions,
                    sample.score or "",
                )
                self._finish_sample(sample, result)
            elif not sample.scoring:
                sample.scoring = self._offer_for_scoring(sample)

    def _offer_for_scoring(self, sample: Sample) -> bool:
        """Queues a sample for scoring; returns False if the queue is full."""
        reward = sample.item.reward
        if reward is None:
            return False
        rewards = self._dependencies.rewards
        max_errors = rewards.max_server_errors(reward, self._route.max_attempts)
        request = ScoringRequest[str](
            sample.item.name,
            rewards.scorer(reward, self._stopped.is_set),
            scoring.RetryLimits(max_server_errors=max_errors),
            self._due_at,
            self._give_up_at,
            lambda: self._writer.unfinished_in_group(sample.item.group),
            self._stopped.is_set,
            lambda score: self._inbox.put(_ScoreResult(sample, score)),
        )
        return self._dependencies.scoring.offer(request)

    def _give_up_sample(self, sample: Sample) -> None:
        sample.given_up = True
        result = ItemResult(sample.item.name, False, "", ())
        self._finish_sample(sample, result)

    def _finish_sample(self, sample: Sample, result: ItemResult) -> None:
        sample.finished = True
        self._writer.add_result(result)

    def _give_up_unfinished(self, reason: str) -> None:
        for sample in self._samples:
            if sample.finished:
                continue
            if sample.run is not None:
                sample.run.move_requested.set()
                sample.run = None
            self._give_up_sample(sample)
            _log.info(
                "Unfinished sample of a job given up.",
                extra={
                    "job": self.contents.job,
                    "request_id": sample.item.name,
                    "reason": reason,
                },
            )

    def _start_samples(self, now: float) -> None:
        waiting = [sample for sample in self._samples if sample.needs_run]
        if not waiting:
            return
        route_and_service = self._dependencies.route_of(self.contents)
        if route_and_service is None:
            self._give_up_unfinished("its route was removed")
            return
        self._route, service = route_and_service
        self._service = service
        self._tokens_per_event = self._dependencies.tokens_per_event(service)
        targets = self._dependencies.targets
        views = targets.views(service, self.contents.model, deferrable=True)
        views_by_name = {view.name: view for view in views}
        waiting_by_index = {sample.index: sample for sample in waiting}
        for index in self._start_order(waiting, views, now):
            view = self._choose_target(
                waiting_by_index[index], views_by_name, now
            )
            if view is None and waiting_by_index[index].events:
                # It may wait for a target that can go on from its events.
                continue
            if view is None or not self._start_run(
                waiting_by_index[index], view
            ):
                break
            views_by_name[view.name] = view._replace(
                in_flight_here=view.in_flight_here + 1, sends=view.sends - 1
            )
        unplaced = sum(sample.needs_run for sample in waiting)
        usable = [
            view
            for view in views_by_name.values()
            if view.version >= self.contents.oldest_version
        ]
        demand = Demand(deferrable=min(unplaced, _limited_slots(usable)))
        targets.request_tokens(self.contents.job, service, demand, usable)

    def _remaining_events(self, sample: Sample) -> float:
        return sample.remaining_events(self._tokens_per_event)

    def _start_order(
        self, waiting: Sequence[Sample], views: Sequence[TargetView], now: float
    ) -> list[int]:
        sizes = [
            job_order.SampleSize(
                s.index, s.item.group, self._remaining_events(s)
            )
            for s in waiting
        ]
        mean_events = sum(size.events for size in sizes) / len(sizes)
        events_per_s = sum(
            view.events_per_s(mean_events)
            for view in views
            if view.backoff_until <= now
        )
        started = {sample.index for sample in waiting if sample.events}
        order = job_order.start_order(sizes, events_per_s, self._due_at - now)
        return sorted(order, key=lambda index: index not in started)

    def _choose_target(
        self,
        sample: Sample,
        views_by_name: dict[str, TargetView],
        now: float,
    ) -> TargetView | None:
        sample.continues_until = min(
            sample.continues_until, now + placement.CONTINUATION_WAIT_S
        )
        group = sample.item.group
        requirements = placement.SampleRequirements(
            self.contents.oldest_version,
            self._remaining_events(sample),
            self._preferred_target_by_group.get(group, ""),
            sample.avoided_targets,
            len(sample.events),
            sample.begun_by,
            now >= sample.continues_until,
        )
        view = placement.place_sample(
            list(views_by_name.values()), requirements, now
        )
        if view is not None:
            self._preferred_target_by_group[group] = view.name
        return view

    def _start_run(self, sample: Sample, view: TargetView) -> bool:
        """Starts a run; returns False if the target takes none now."""
        targets = self._dependencies.targets
        target = targets.get(view.name)
        send = Send(sample.item.name, Purpose.SAMPLE)
        if target is None or not targets.try_start(target, send):
            return False
        limits = RunLimits(
            self.contents.host,
            self.contents.model,
            self.contents.oldest_version,
            self._route.single_version,
            self._submitted_at,
            self._give_up_at,
            self._stopped.is_set,
            self.contents.organisation,
        )
        run = SampleRun(sample, target, targets, limits, self._clock)
        sample.run = run
        sample.continues_until = math.inf
        self._dependencies.run_executor.submit(self._execute_run, run)
        return True

    def _execute_run(self, run: SampleRun) -> None:
        try:
            outcome = run.run()
        except Exception:
            _log.exception("Run of a sample failed unexpectedly.")
            outcome = RunOutcome.BROKEN
        if run.sample.run is run:
            self._inbox.put(_RunResult(run, outcome))

    def _move_off_leaving(self, now: float) -> None:
        """Ends runs that can't end before their engine is taken away."""
        for sample in self._samples:
            run = sample.run
            if run is None or run.move_requested.is_set():
                continue
            leaves_at = run.target.record.leaves_at
            if leaves_at is None:
                continue
            events = self._remaining_events(sample)
            event_s = self._dependencies.targets.event_s(run.target)
            if departure.must_move(leaves_at, events, event_s, now):
                run.move_requested.set()
                _log.info(
                    "Sample moved off an engine that is taken away.",
                    extra={
                        "job": self.contents.job,
                        "request_id": sample.item.name,
                        "target": run.target.name,
                        "left_s": round(leaves_at - now, 2),
                        "remaining_events": round(events, 1),
                        "event_s": round(event_s, 4),
                    },
                )

    def _move_stragglers(self, now: float) -> None:
        if now - self._last_move_at < MOVE_PERIOD_S:
            return
        self._last_move_at = now
        running = [s for s in self._samples if s.run is not None]
        if not running or any(s.needs_run for s in self._samples):
            return
        route_and_service = self._dependencies.route_of(self.contents)
        if route_and_service is None:
            return
        views = self._dependencies.targets.views(
            route_and_service[1], self.contents.model
        )
        # At a target of other software a sample would begin anew.
        for software in {s.run.target.software for s in running if s.run}:
            self._move_stragglers_among(
                [view for view in views if view.software == software],
                [
                    sample
                    for sample in running
                    if sample.run and sample.run.target.software == software
                ],
                now,
            )

    def _move_stragglers_among(
        self,
        views: Sequence[TargetView],
        running: Sequence[Sample],
        now: float,
    ) -> None:
        free = [
            view
            for view in views
            if view.free_slots > 0
            and view.backoff_until <= now
            and not view.is_limited
        ]
        if not free:
            return
        best_event_s = min(view.event_s for view in free)
        free_slots = sum(
            view.free_slots
            for view in free
            if view.event_s * samples.SLOW_FACTOR <= best_event_s * 2
        )
        event_s_by_name = {view.name: view.event_s for view in views}
        candidates = [
            samples.RunningSample(
                s.index,
                self._remaining_events(s),
                event_s_by_name.get(s.run.target.name, best_event_s),
            )
            for s in running
            if s.run is not None
            and self._moves_by_index.get(s.index, 0) < MAX_MOVES_PER_SAMPLE
        ]
        running_by_index = {s.index: s for s in running}
        for index in samples.samples_to_move(
            candidates, best_event_s, free_slots
        ):
            run = running_by_index[index].run
            if run is not None:
                moves = self._moves_by_index.get(index, 0)
                self._moves_by_index[index] = moves + 1
                run.move_requested.set()


def _limited_slots(views: Sequence[TargetView]) -> int:
    """Returns the free slots of the targets that name a request limit."""
    return sum(max(0, view.free_slots) for view in views if view.is_limited)
