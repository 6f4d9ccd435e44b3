"""Starts generations of samples, moves slow ones and stores the results.

One thread decides; the generations run in a bounded thread pool. Memory is
bounded by `TrainerState.next_slot`, which returns None while a trainer does not
pull.
"""

import itertools
import math
import threading
from concurrent.futures import Executor
from functools import partial
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.dispatch import SHARE_POLICIES
from hibiscuspin.decisions.scoring import RetryLimits
from hibiscuspin.decisions.staleness import oldest_version, version_spans
from hibiscuspin.edges import GenerateRequest
from hibiscuspin.edges.scorer import HttpScoringService
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.live import ROLLOUT_PRIORITY
from hibiscuspin.tasks.meters import NO_OP_METERS, Meters
from hibiscuspin.tasks.rollout import CompleteGeneration, Rollout
from hibiscuspin.tasks.samples import FinishedSample, SampleBody, Slot
from hibiscuspin.tasks.scoring import MAX_BACKLOG, Scoring, ScoringRequest
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.targets import Targets
from hibiscuspin.tasks.trainer_state import Step, TrainerState

__all__ = ["Dispatcher"]

TICK_S = 0.05
SHARE_POLICY = "weighted"
MAX_SCORING_FAILURES = 8

_log = get_logger("rollouts")


class _SlotRun(NamedTuple):
    """A slot and its generation in flight."""

    state: TrainerState
    step: Step
    slot: Slot
    rollout: Rollout
    started_at_s: float


class Dispatcher:
    """Starts and moves generations of slots; a supervised task."""

    name = "rollout-dispatcher"

    def __init__(
        self,
        steps: Steps,
        targets: Targets,
        attempts: AttemptLog,
        scoring: Scoring,
        executor: Executor,
        threads: int,
        clock: Clock,
        meters: Meters = NO_OP_METERS,
    ) -> None:
        self._steps = steps
        self._targets = targets
        self._attempts = attempts
        self._scoring = scoring
        self._executor = executor
        self._threads = threads
        self._clock = clock
        self._meters = meters
        self._share_policy = SHARE_POLICIES[SHARE_POLICY]()
        self._numbers = itertools.count()
        self._runs_by_number: dict[int, _SlotRun] = {}
        self._scoring_service_by_address: dict[str, HttpScoringService] = {}
        self._stop = threading.Event()

    def run(self, stop: threading.Event) -> None:
        """Dispatches until `stop` is set, then stops all generations."""
        while not stop.is_set():
            with self._steps.lock:
                states = self._steps.trainers_with_duty()
                self._drop_stale(states)
                self._start_slots(states)
                self._move_stragglers(states)
                self._steps.work_changed.wait(TICK_S)
        self._stop.set()

    def _drop_stale(self, states: list[TrainerState]) -> None:
        """Drops samples that will be too old when the trainer pulls them."""
        for state in states:
            for step in state.open_steps():
                oldest_allowed = state.oldest_allowed_version(step.number)
                if (
                    oldest_allowed > state.version
                    or oldest_allowed <= step.swept_below_version
                ):
                    continue
                step.swept_below_version = oldest_allowed
                self._steps.drop_stale(
                    state, step, oldest_allowed, delivered=False
                )

    def _start_slots(self, states: list[TrainerState]) -> None:
        states_by_name = {state.name: state for state in states}
        shares = {s.name: s.declared["share"] for s in states}
        running = {state.name: state.running_count() for state in states}
        while running and len(self._runs_by_number) < self._threads:
            unscored = self._scoring.backlog + len(self._runs_by_number)
            if unscored >= MAX_BACKLOG:
                return
            name = self._share_policy.choose(running, shares)
            step_and_slot = states_by_name[name].next_slot()
            if step_and_slot is None:
                del running[name]
                continue
            running[name] += 1
            self._start_slot(states_by_name[name], *step_and_slot)

    def _start_slot(self, state: TrainerState, step: Step, slot: Slot) -> None:
        number = next(self._numbers)
        slot_id = slot.id(state.name, step.number)
        request = GenerateRequest(
            request_id=f"{slot_id}.{state.holding.fencing}-{number}",
            model=state.declared["model"],
            adapter=slot.prompt.get("adapter", ""),
            prompt=slot.prompt["prompt"],
            max_tokens=slot.prompt["max_tokens"],
            priority=ROLLOUT_PRIORITY,
            seed=slot.number,
        )
        rollout = Rollout(
            self._targets,
            self._attempts,
            self._clock,
            state.declared["team"],
            request,
            partial(state.oldest_running_version, step.number),
            self._stop,
            self._meters,
            state.name,
        )
        run = _SlotRun(state, step, slot, rollout, self._clock.wall())
        step.running_by_position[slot.position] = rollout
        self._runs_by_number[number] = run
        self._executor.submit(self._run_slot, number, run)

    def _move_stragglers(self, states: list[TrainerState]) -> None:
        now = self._clock.monotonic()
        for state in states:
            running = [
                view
                for number, run in self._runs_by_number.items()
                if run.state is state
                and (view := run.rollout.progress(number)) is not None
            ]
            chosen = state.redispatch.choose(
                running, state.token_intervals, state.token_counts, now
            )
            for number in chosen:
                self._runs_by_number[number].rollout.request_move()

    def _run_slot(self, number: int, run: _SlotRun) -> None:
        generated = None
        try:
            generated = run.rollout.run()
        except Exception:
            _log.exception("Generation of a sample failed unexpectedly.")
        scorer = run.state.declared.get("scorer_address", "")
        with self._steps.lock:
            del self._runs_by_number[number]
            del run.step.running_by_position[run.slot.position]
            self._count_tokens(run)
            if generated is None:
                run.step.enqueue(run.slot.position)
            elif scorer:
                run.step.scoring_positions.add(run.slot.position)
            else:
                self._store_sample(run, generated, None)
            self._steps.work_changed.notify_all()
        if generated is not None and scorer:
            self._score_sample(scorer, run, generated)

    def _score_sample(
        self, address: str, run: _SlotRun, generated: CompleteGeneration
    ) -> None:
        def on_scored(reward: float | None) -> None:
            with self._steps.lock:
                run.step.scoring_positions.discard(run.slot.position)
                run.state.unscored += reward is None
                self._store_sample(run, generated, reward)
                self._steps.work_changed.notify_all()

        sample_id = run.slot.id(run.state.name, run.step.number)
        scorer = self._scoring_service(address).scorer(
            sample_id, run.slot.prompt["prompt"], "".join(generated.tokens)
        )
        request = ScoringRequest[float](
            sample_id,
            scorer,
            RetryLimits(max_failures=MAX_SCORING_FAILURES),
            math.inf,
            math.inf,
            # Trainers pull single samples, so groups do not matter.
            lambda: 1,
            self._stop.is_set,
            on_scored,
        )
        if not self._scoring.offer(request):
            _log.warning(
                "Sample not scored: the scoring queue is full.",
                extra={"request_id": sample_id},
            )
            on_scored(None)

    def _scoring_service(self, address: str) -> HttpScoringService:
        """Returns the client of a scoring service."""
        with self._steps.lock:
            known = self._scoring_service_by_address.get(address)
            if known is None:
                known = HttpScoringService(address, self._clock)
                self._scoring_service_by_address[address] = known
            return known

    def _count_tokens(self, run: _SlotRun) -> None:
        rollout, state = run.rollout, run.state
        state.tokens_by_cause.update(rollout.tokens_by_cause)
        state.token_counts = state.token_counts._replace(
            tokens=state.token_counts.tokens + rollout.tokens_by_cause.total(),
            wasted=state.token_counts.wasted + rollout.wasted,
        )
        if rollout.token_s is not None:
            state.token_intervals = state.token_intervals.observe(
                rollout.token_s
            )

    def _store_sample(
        self, run: _SlotRun, generated: CompleteGeneration, reward: float | None
    ) -> None:
        slot = run.slot
        versions = version_spans(generated.versions)
        body: SampleBody = {
            "slot": slot.id(run.state.name, run.step.number),
            "position": slot.position,
            "prompt_id": slot.prompt["id"],
            "index": slot.number,
            "group": slot.prompt.get("group", slot.prompt["id"]),
            "text": "".join(generated.tokens),
            "tokens": len(generated.tokens),
            "versions": versions,
            "reward": reward,
            "engine": generated.engine,
            "started_at_s": run.started_at_s,
            "finished_at_s": self._clock.wall(),
        }
        sample = FinishedSample(
            msgspec.json.encode(body),
            oldest_version(versions),
            len(generated.tokens),
        )
        self._steps.add_sample(run.state, run.step, slot.position, sample)
