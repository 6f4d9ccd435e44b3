"""Starts generations of samples, moves slow ones and stores the results.

One thread decides; the generations run in a bounded thread pool. Memory is
bounded by `TrainerState.next_slot`, which returns None while a trainer does not
pull.
"""

import itertools
import threading
from concurrent.futures import Executor
from functools import partial
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.dispatch import SHARES
from hibiscuspin.decisions.staleness import fold, oldest
from hibiscuspin.edges import GenerateRequest
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.live import ROLLOUT_PRIORITY
from hibiscuspin.tasks.meters import FREE, Meters
from hibiscuspin.tasks.rollout import Generated, Rollout
from hibiscuspin.tasks.samples import Held, SampleBody, Slot
from hibiscuspin.tasks.scoring import MAX_BACKLOG, Scoring
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.targets import Targets
from hibiscuspin.tasks.trainer_state import Step, TrainerState

__all__ = ["Dispatcher"]

TICK_S = 0.05
SHARE = "weighted"

_log = get_logger("rollouts")


class _Job(NamedTuple):
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
        meters: Meters = FREE,
    ) -> None:
        self._steps = steps
        self._targets = targets
        self._attempts = attempts
        self._scoring = scoring
        self._executor = executor
        self._threads = threads
        self._clock = clock
        self._meters = meters
        self._share = SHARES[SHARE]()
        self._numbers = itertools.count()
        self._jobs_by_number: dict[int, _Job] = {}
        self._stop = threading.Event()

    def run(self, stop: threading.Event) -> None:
        """Dispatches until `stop` is set, then stops all generations."""
        while not stop.is_set():
            with self._steps.lock:
                states = self._steps.valid_trainers()
                self._drop_stale(states)
                self._start(states)
                self._move(states)
                self._steps.work.wait(TICK_S)
        self._stop.set()

    def _drop_stale(self, states: list[TrainerState]) -> None:
        """Drops samples that will be too old when the trainer pulls them."""
        for state in states:
            for step in state.open_steps():
                least = state.least_version(step.number)
                if least > state.version or least <= step.swept_version:
                    continue
                step.swept_version = least
                self._steps.drop_stale(state, step, least, delivered=False)

    def _start(self, states: list[TrainerState]) -> None:
        states_by_name = {state.name: state for state in states}
        shares = {s.name: s.declared["share"] for s in states}
        running = {state.name: state.running() for state in states}
        while running and len(self._jobs_by_number) < self._threads:
            if self._scoring.backlog >= MAX_BACKLOG:
                return
            name = self._share.choose(running, shares)
            found = states_by_name[name].next_slot()
            if found is None:
                del running[name]
                continue
            running[name] += 1
            self._start_slot(states_by_name[name], *found)

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
            partial(state.least_running, step.number),
            self._stop,
            self._meters,
            state.name,
        )
        job = _Job(state, step, slot, rollout, self._clock.wall())
        step.running_by_position[slot.position] = rollout
        self._jobs_by_number[number] = job
        self._executor.submit(self._run, number, job)

    def _move(self, states: list[TrainerState]) -> None:
        now = self._clock.monotonic()
        for state in states:
            running = [
                view
                for number, job in self._jobs_by_number.items()
                if job.state is state
                and (view := job.rollout.running(number)) is not None
            ]
            chosen = state.redispatch.choose(
                running, state.pace, state.spent, now
            )
            for number in chosen:
                self._jobs_by_number[number].rollout.move()

    def _run(self, number: int, job: _Job) -> None:
        generated = None
        try:
            generated = job.rollout.run()
        except Exception:
            _log.exception("Generation of a sample failed unexpectedly.")
        scorer = job.state.declared.get("scorer_address", "")
        with self._steps.lock:
            del self._jobs_by_number[number]
            del job.step.running_by_position[job.slot.position]
            self._account(job)
            if generated is None:
                job.step.want(job.slot.position)
            elif scorer:
                job.step.scoring.add(job.slot.position)
            else:
                self._hold(job, generated, None)
            self._steps.work.notify_all()
        if generated is not None and scorer:
            self._score(scorer, job, generated)

    def _score(self, scorer: str, job: _Job, generated: Generated) -> None:
        def scored(reward: float | None) -> None:
            with self._steps.lock:
                job.step.scoring.discard(job.slot.position)
                job.state.unscored += reward is None
                self._hold(job, generated, reward)
                self._steps.work.notify_all()

        self._scoring.score(
            scorer,
            job.slot.id(job.state.name, job.step.number),
            job.slot.prompt["prompt"],
            "".join(generated.tokens),
            scored,
        )

    def _account(self, job: _Job) -> None:
        rollout, state = job.rollout, job.state
        state.tokens_by_cause.update(rollout.spent_by_cause)
        state.spent = state.spent._replace(
            tokens=state.spent.tokens + rollout.spent_by_cause.total(),
            wasted=state.spent.wasted + rollout.wasted,
        )
        if rollout.token_s is not None:
            state.pace = state.pace.observe(rollout.token_s)

    def _hold(
        self, job: _Job, generated: Generated, reward: float | None
    ) -> None:
        slot = job.slot
        versions = fold(generated.versions)
        body: SampleBody = {
            "slot": slot.id(job.state.name, job.step.number),
            "position": slot.position,
            "prompt_id": slot.prompt["id"],
            "index": slot.number,
            "group": slot.prompt.get("group", slot.prompt["id"]),
            "text": "".join(generated.tokens),
            "tokens": len(generated.tokens),
            "versions": versions,
            "reward": reward,
            "engine": generated.engine,
            "started_at_s": job.started_at_s,
            "finished_at_s": self._clock.wall(),
        }
        held = Held(
            msgspec.json.encode(body), oldest(versions), len(generated.tokens)
        )
        self._steps.hold(job.state, job.step, slot.position, held)
