"""Rollout steps: accepts prompts and hands over each sample exactly once.

State that must outlive the holder is stored before a response is sent; see
`tasks.step_store`. Samples exist in memory only: a new holder generates
unacknowledged samples again.
"""

import itertools
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.config import Config
from hibiscuspin.decisions import delivery
from hibiscuspin.decisions.delivery import CursorState, PullVerdict
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.duties import HeldDuty
from hibiscuspin.tasks.samples import (
    FinishedSample,
    Prompt,
    PullAnswer,
    SampleBody,
    StepBody,
    TrainerStatus,
)
from hibiscuspin.tasks.step_store import (
    StepRecord,
    StepStore,
    WriteConflictError,
    stored_step,
)
from hibiscuspin.tasks.trainer_state import Step, TrainerState
from hibiscuspin.tasks.versions import Versions

__all__ = ["Steps"]

MAX_DONE_STEPS = 32
LOST_TRAINER_RETENTION_S = 60.0
MAX_OPEN_STEPS = 16
PULL_POLL_PERIOD_S = 0.2
FLUSH_DELAY_S = 1.0

_log = get_logger("rollouts")


class Steps:
    """The steps of all trainers whose duty this instance holds.

    Attributes:
        lock: Guards the state of all trainers.
        work_changed: Notified when the dispatcher should check for work.
        trainers_by_name: The state of each trainer.
    """

    def __init__(
        self,
        store: StepStore,
        versions: Versions,
        is_duty_held: Callable[[HeldDuty], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._versions = versions
        self._is_duty_held = is_duty_held
        self._clock = clock
        self._write_numbers = itertools.count()
        self._takeover_lock = threading.Lock()
        self.lock = threading.Lock()
        self.work_changed = threading.Condition(self.lock)
        self._samples_ready = threading.Condition(self.lock)
        self._store_locks_by_step: dict[tuple[str, int], threading.Lock] = {}
        self.trainers_by_name: dict[str, TrainerState] = {}
        self._stopping = False

    def submit(
        self,
        config: Config,
        holding: HeldDuty,
        trainer: str,
        number: int,
        body: StepBody,
    ) -> int:
        """Accepts prompts of a step; they are stored before this returns.

        Returns:
            The step's number of slots after this call.

        Raises:
            HibiscusError: The step is closed or too old, too many steps are
                open, a prompt is too large, the duty was lost, or the store
                did not confirm the write.
        """
        state = self._trainer_state(config, holding, trainer)
        with self._store_lock(trainer, number), _translate_store_errors():
            step = self._synced_step(state, number)
            prompts = _new_prompts(step, body)
            final = step.final or body.get("final", False)
            if not prompts and final == step.final and step.revision:
                return len(step.slots)
            self._check_submission(state, step, prompts)
            token = self._next_write_token(holding)
            written = self._write_prompts(trainer, number, token, prompts)
            stored = stored_step(
                token,
                holding.fencing,
                step.cursor,
                [*step.chunk_names, *written],
                final,
            )
            record = self._commit_step(state, step, StepRecord(stored, 0))
            with self.lock:
                step.apply_record(record, written)
                self.work_changed.notify_all()
                return len(step.slots)

    def pull(
        self,
        config: Config,
        holding: HeldDuty,
        trainer: str,
        number: int,
        after: int,
        wait_s: float,
    ) -> PullAnswer:
        """Hands over the batch of samples after a cursor.

        See `delivery.decide_pull` for the rules.

        Raises:
            HibiscusError: The step or the cursor is unknown, the duty was
                lost, the instance is stopping, or the store did not confirm
                the hand-over.
        """
        state = self._trainer_state(config, holding, trainer)
        started_at = self._clock.monotonic()
        until = started_at + wait_s
        flush_at = min(until, started_at + FLUSH_DELAY_S)
        while True:
            now = self._clock.monotonic()
            with self._store_lock(trainer, number), _translate_store_errors():
                step = self._pulled_step(state, number)
                answer = self._try_pull(state, step, after, now >= flush_at)
            if answer is not None:
                return answer
            if self._stopping:
                raise HibiscusError(
                    ErrorKind.STOPPING,
                    "The instance is stopping; retry elsewhere.",
                )
            if now >= until:
                return {"cursor": after, "complete": False, "samples": []}
            with self.lock:
                self._samples_ready.wait(min(PULL_POLL_PERIOD_S, until - now))

    def record_version(self, trainer: str, version: int) -> None:
        """Records a trainer's newly published version."""
        with self.lock:
            state = self.trainers_by_name.get(trainer)
            if state is not None:
                state.version = max(state.version, version)
                self.work_changed.notify_all()

    def add_sample(
        self,
        state: TrainerState,
        step: Step,
        position: int,
        sample: FinishedSample,
    ) -> None:
        """Stores a finished sample in memory; the caller holds `lock`."""
        if not step.add_sample(position, sample):
            state.token_counts = state.token_counts._replace(
                wasted=state.token_counts.wasted + sample.tokens
            )
        left = (
            step.undelivered_slots()
            if step.final
            else delivery.MAX_BATCH_SAMPLES
        )
        ready = step.undelivered_samples()
        if ready >= min(left, delivery.MAX_BATCH_SAMPLES):
            self._samples_ready.notify_all()

    def drop_stale(
        self,
        state: TrainerState,
        step: Step,
        oldest_allowed: int,
        *,
        delivered: bool,
    ) -> None:
        """Drops samples below a version; the caller holds `lock`.

        Slots that were not handed over are queued again. `delivered` includes
        the samples of the last batch; their slots are queued when the trainer
        pulls that batch again.
        """
        for position in step.stale_positions(
            oldest_allowed, delivered=delivered
        ):
            sample = step.remove_sample(position)
            state.dropped_stale += 1
            state.token_counts = state.token_counts._replace(
                wasted=state.token_counts.wasted + sample.tokens
            )
            if position in step.cursor.pending:
                continue
            step.enqueue(position)

    def status(
        self, config: Config, holding: HeldDuty, trainer: str
    ) -> TrainerStatus:
        """Returns a trainer's state on this instance."""
        state = self._trainer_state(config, holding, trainer)
        with self.lock:
            steps = state.open_steps()
            return {
                "version": state.version,
                "steps": [step.number for step in steps],
                "running": state.running_count(),
                "held": sum(len(s.samples_by_position) for s in steps),
                "held_bytes": sum(s.held_bytes for s in steps),
                "tokens_by_cause": dict(state.tokens_by_cause),
                "samples_dropped_stale": state.dropped_stale,
                "samples_unscored": state.unscored,
            }

    def running_count(self) -> int:
        """Returns the number of generations in flight."""
        with self.lock:
            states = list(self.trainers_by_name.values())
            return sum(state.running_count() for state in states)

    def stop(self) -> None:
        """Ends waiting pulls, so that their trainers retry elsewhere."""
        with self.lock:
            self._stopping = True
            self._samples_ready.notify_all()

    def trainers_with_duty(self) -> list[TrainerState]:
        """Returns the trainers whose duty is held; the caller holds `lock`.

        The state of other trainers is retained for a while, because a lease
        that lapsed in an outage of the store is mostly acquired again by the
        same instance.
        """
        if self._stopping:
            return []
        now = self._clock.monotonic()
        states = []
        for name, state in list(self.trainers_by_name.items()):
            if self._is_duty_held(state.holding):
                state.forget_at = now + LOST_TRAINER_RETENTION_S
                states.append(state)
            elif now >= state.forget_at and not state.running_count():
                del self.trainers_by_name[name]
        return states

    def _trainer_state(
        self, config: Config, holding: HeldDuty, trainer: str
    ) -> TrainerState:
        declared = config["trainers_by_name"][trainer]
        with self._takeover_lock, _translate_store_errors():
            with self.lock:
                state = self.trainers_by_name.get(trainer)
            if state is not None and state.holding == holding:
                state.declared = declared
                return state
            version = self._versions.refresh(trainer)
            records = self._store.load_all(trainer)
            if state is None:
                state = TrainerState(trainer, declared, holding, version)
            with self.lock:
                state.renew(declared, holding, version)
            for number, record in records.items():
                self._apply_record(state, state.step(number), record)
            with self.lock:
                self.trainers_by_name[trainer] = state
                self.work_changed.notify_all()
            _log.info(
                "Steps of a trainer loaded from the store.",
                extra={"steps": len(records)},
            )
            return state

    def _apply_record(
        self, state: TrainerState, step: Step, record: StepRecord
    ) -> None:
        if record.stored["fencing"] > state.holding.fencing:
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"A later holder has taken over step {step.number}.",
            )
        prompts_by_chunk: Mapping[str, Sequence[Prompt]] = {}
        missing = set(record.stored["chunks"]) - set(step.chunk_names)
        if missing and not record.stored["done"]:
            prompts_by_chunk = self._store.load_prompts(state.name, step.number)
        if record.stored["done"]:
            record.stored["chunks"] = []
        with self.lock:
            step.apply_record(record, prompts_by_chunk)
            self.work_changed.notify_all()

    def _synced_step(self, state: TrainerState, number: int) -> Step:
        """Returns a step, loaded from the store if it is out of date."""
        with self.lock:
            step = state.step(number)
        if not step.synced:
            record = self._store.load(state.name, number)
            if record is not None:
                self._apply_record(state, step, record)
            step.synced = True
        return step

    def _pulled_step(self, state: TrainerState, number: int) -> Step:
        with self.lock:
            known = number in state.steps_by_number
        step = self._synced_step(state, number) if known else None
        if step is None or not step.revision:
            raise HibiscusError(
                ErrorKind.UNKNOWN_STEP, f"Step {number} is unknown."
            )
        return step

    def _try_pull(
        self, state: TrainerState, step: Step, after: int, flush: bool
    ) -> PullAnswer | None:
        with self.lock:
            state.record_pull(step.number)
            staleness_bound = state.declared["staleness_bound_versions"]
            oldest_allowed = state.version - staleness_bound
            self.drop_stale(state, step, oldest_allowed, delivered=True)
            result = delivery.decide_pull(
                step.cursor,
                after,
                step.sizes_by_position,
                step.total,
                flush=flush,
            )
            verdict, pending = result.verdict, result.state.pending
            if verdict is PullVerdict.WAIT and after == step.cursor.cursor - 1:
                step.enqueue_lost()
            self.work_changed.notify_all()
            samples: list[SampleBody] = []
            if verdict in (PullVerdict.COMMIT, PullVerdict.REPEAT):
                samples = [
                    _decode_sample(step, position) for position in pending
                ]
        self._require_duty(state.holding)
        if verdict is PullVerdict.WAIT:
            return None
        if verdict is PullVerdict.BAD_CURSOR:
            raise HibiscusError(
                ErrorKind.BAD_CURSOR,
                f"Cursor {after} is invalid; the last one is "
                f"{step.cursor.cursor}.",
            )
        complete = verdict is PullVerdict.COMPLETE
        if result.state != step.cursor:
            self._commit_cursor(state, step, result.state)
            if complete:
                self._delete_done_data(state, step)
        cursor = after if complete else result.state.cursor
        return {"cursor": cursor, "complete": complete, "samples": samples}

    def _commit_cursor(
        self, state: TrainerState, step: Step, cursor: CursorState
    ) -> None:
        stored = stored_step(
            self._next_write_token(state.holding),
            state.holding.fencing,
            cursor,
            [] if cursor.done else step.chunk_names,
            step.final,
        )
        record = self._commit_step(state, step, StepRecord(stored, 0))
        with self.lock:
            step.revision = record.revision
            step.set_cursor(cursor)
            self.work_changed.notify_all()

    def _commit_step(
        self, state: TrainerState, step: Step, record: StepRecord
    ) -> StepRecord:
        """Writes a step; after an unknown outcome the next call reloads it."""
        self._require_duty(state.holding)
        step.synced = False
        try:
            revision = self._store.commit_state(
                state.name, step.number, record.stored, step.revision
            )
        except WriteConflictError as error:
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"Another write changed step {step.number} first.",
            ) from error
        step.synced = True
        return record._replace(revision=revision)

    def _require_duty(self, holding: HeldDuty) -> None:
        if not self._is_duty_held(holding):
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"The lease of duty {holding.duty} has lapsed.",
            )

    def _check_submission(
        self, state: TrainerState, step: Step, prompts: list[Prompt]
    ) -> None:
        if (step.final and prompts) or step.cursor.done:
            raise HibiscusError(
                ErrorKind.BAD_FIELD, f"Step {step.number} is closed."
            )
        if not step.revision and len(state.open_steps()) > MAX_OPEN_STEPS:
            raise HibiscusError(
                ErrorKind.OVERLOADED,
                f"At most {MAX_OPEN_STEPS} steps may be open.",
            )
        done = [n for n, s in state.steps_by_number.items() if s.cursor.done]
        if len(done) >= MAX_DONE_STEPS and step.number < min(done):
            raise HibiscusError(
                ErrorKind.BAD_FIELD, f"Step {step.number} is too old."
            )

    def _write_prompts(
        self, trainer: str, number: int, token: str, prompts: Sequence[Prompt]
    ) -> dict[str, Sequence[Prompt]]:
        try:
            return self._store.write_prompts(trainer, number, token, prompts)
        except ValueError as error:
            raise HibiscusError(
                ErrorKind.BODY_TOO_LARGE,
                f"A prompt of step {number} is too large for the store.",
            ) from error

    def _delete_done_data(self, state: TrainerState, step: Step) -> None:
        """Deletes a done step's prompts and the oldest done steps.

        If the store fails, the rest is left to a later call.
        """
        try:
            self._store.delete_prompts(state.name, step.number)
            with self.lock:
                done = sorted(
                    number
                    for number, other in state.steps_by_number.items()
                    if other.cursor.done
                )
            for number in done[:-MAX_DONE_STEPS]:
                old = state.steps_by_number[number]
                self._store.delete_state(state.name, number, old.revision)
                with self.lock:
                    del state.steps_by_number[number]
                self._store_locks_by_step.pop((state.name, number), None)
        except StoreError:
            _log.warning("Data of done steps not deleted: the store failed.")

    def _store_lock(self, trainer: str, number: int) -> threading.Lock:
        with self.lock:
            return self._store_locks_by_step.setdefault(
                (trainer, number), threading.Lock()
            )

    def _next_write_token(self, holding: HeldDuty) -> str:
        return f"{holding.fencing}-{next(self._write_numbers)}"


@contextmanager
def _translate_store_errors() -> Iterator[None]:
    try:
        yield
    except StoreError as error:
        raise HibiscusError(
            ErrorKind.STORE_UNAVAILABLE,
            "The store did not confirm the call.",
            error.ran,
        ) from error


def _decode_sample(step: Step, position: int) -> SampleBody:
    body = step.samples_by_position[position].body
    return msgspec.json.decode(body, type=SampleBody)


def _new_prompts(step: Step, body: StepBody) -> list[Prompt]:
    prompts_by_id = {
        prompt["id"]: prompt
        for prompt in reversed(body["prompts"])
        if prompt["id"] not in step.prompt_ids
    }
    return list(reversed(prompts_by_id.values()))
