"""A trainer's steps in the memory of the holder of its duty.

This module takes no locks and does no I/O; callers hold the lock of
`tasks.steps.Steps`.
"""

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence

from hibiscuspin.config.schema import Trainer
from hibiscuspin.decisions.delivery import CursorState, bitmap_positions
from hibiscuspin.decisions.dispatch import (
    ORDER_POLICIES,
    OrderPolicy,
    SlotView,
    SortKey,
)
from hibiscuspin.decisions.lookahead import LOOKAHEAD_POLICIES, LookaheadInputs
from hibiscuspin.decisions.staleness import VersionRate, oldest_allowed_version
from hibiscuspin.decisions.stragglers import (
    REDISPATCH_POLICIES,
    TokenIntervals,
    TokenUsage,
)
from hibiscuspin.tasks.duties import HeldDuty
from hibiscuspin.tasks.rollout import Rollout
from hibiscuspin.tasks.samples import FinishedSample, Prompt, Slot, SlotTable
from hibiscuspin.tasks.step_store import StepRecord

__all__ = ["Step", "TrainerState"]

MAX_HELD_BYTES = 8 * 1024 * 1024


class Step:
    """One step: its slots, running generations and finished samples.

    Attributes:
        number: The step's number.
        synced: Whether the state in memory matches the store.
        revision: The revision of the stored state; 0 if not stored yet.
        cursor: The committed state of the hand-over.
        chunk_names: The names of the prompt chunks, in the order of submission.
        final: Whether the trainer has closed the step.
        prompt_ids: The ids of all prompts.
        slots: The slots.
        running_by_position: Generations in flight.
        scoring_positions: Positions of samples that wait for their reward.
        samples_by_position: Finished samples in memory.
        sizes_by_position: The sizes of these samples in bytes.
        held_bytes: The sum of these sizes.
        swept_below_version: The oldest allowed version at the last removal of
            stale samples.
    """

    def __init__(self, number: int, order: OrderPolicy) -> None:
        self.number = number
        self.synced = False
        self.revision = 0
        self.cursor = CursorState()
        self.chunk_names: list[str] = []
        self.final = False
        self.prompt_ids: set[str] = set()
        self.slots = SlotTable()
        self.running_by_position: dict[int, Rollout] = {}
        self.scoring_positions: set[int] = set()
        self.samples_by_position: dict[int, FinishedSample] = {}
        self.sizes_by_position: dict[int, int] = {}
        self.held_bytes = 0
        self.swept_below_version = -1
        self._delivered = 0
        self._requeued: set[int] = set()
        self._order = order
        self._queue: list[SortKey] = []

    @property
    def total(self) -> int | None:
        """The number of slots; None while more may be submitted."""
        return len(self.slots) if self.final else None

    def apply_record(
        self,
        record: StepRecord,
        prompts_by_chunk: Mapping[str, Sequence[Prompt]],
    ) -> None:
        """Updates the step from its stored state.

        Args:
            record: The stored state.
            prompts_by_chunk: The prompts of chunks that are new to this step.
        """
        for name in record.stored["chunks"][len(self.chunk_names) :]:
            self._add_prompts(prompts_by_chunk[name])
            self.chunk_names.append(name)
        self.final = record.stored["final"]
        self.revision = record.revision
        self.synced = True
        self.set_cursor(record.cursor_state())

    def set_cursor(self, state: CursorState) -> None:
        """Sets the committed cursor; drops the samples it acknowledges."""
        self.cursor = state
        self._delivered = state.delivered()
        self._requeued.clear()
        pending = set(state.pending)
        for position in [
            p
            for p in self.samples_by_position
            if state.done or (self._delivered >> p & 1 and p not in pending)
        ]:
            self.remove_sample(position)
        if state.done:
            self._queue.clear()
            self.slots.clear()

    def next_slot(self) -> Slot | None:
        """Removes the next slot to generate from the queue and returns it."""
        while self._queue:
            position = heapq.heappop(self._queue)[-1]
            if self._is_needed(position):
                return self.slots[position]
        return None

    def enqueue(self, position: int) -> None:
        """Adds a slot to the queue of slots to generate."""
        slot = self.slots[position]
        view = SlotView(position, slot.group_first, slot.prompt["max_tokens"])
        heapq.heappush(self._queue, self._order.key(view))

    def enqueue_lost(self) -> None:
        """Queues the slots of the last batch whose samples were lost."""
        for position in self.cursor.pending:
            if position not in self._requeued and self._is_absent(position):
                self._requeued.add(position)
                self.enqueue(position)

    def add_sample(self, position: int, sample: FinishedSample) -> bool:
        """Stores a finished sample; returns False if it is not needed."""
        if self.cursor.done or not self._is_needed(position):
            return False
        self.samples_by_position[position] = sample
        self.sizes_by_position[position] = len(sample.body)
        self.held_bytes += len(sample.body)
        self._requeued.discard(position)
        return True

    def remove_sample(self, position: int) -> FinishedSample:
        """Removes a finished sample from memory and returns it."""
        sample = self.samples_by_position.pop(position)
        del self.sizes_by_position[position]
        self.held_bytes -= len(sample.body)
        return sample

    def stale_positions(
        self, oldest_allowed: int, *, delivered: bool
    ) -> list[int]:
        """Returns the positions of samples that are older than allowed.

        Args:
            oldest_allowed: The oldest allowed version.
            delivered: Whether to include samples of the last batch.
        """
        return [
            position
            for position, sample in self.samples_by_position.items()
            if sample.oldest_version < oldest_allowed
            and (delivered or not self._delivered >> position & 1)
        ]

    def undelivered_samples(self) -> int:
        """Returns how many samples in memory were not handed over."""
        pending = sum(
            p in self.samples_by_position for p in self.cursor.pending
        )
        return len(self.samples_by_position) - pending

    def undelivered_slots(self) -> int:
        """Returns how many slots were not handed over."""
        return len(self.slots) - self._delivered.bit_count()

    def delivered_positions(self) -> list[int]:
        """Returns the positions handed over, the last batch included."""
        return list(bitmap_positions(self._delivered))

    def _is_absent(self, position: int) -> bool:
        return (
            position not in self.samples_by_position
            and position not in self.running_by_position
            and position not in self.scoring_positions
        )

    def _is_needed(self, position: int) -> bool:
        if not self._is_absent(position):
            return False
        delivered = self._delivered >> position & 1
        return not delivered or position in self._requeued

    def _add_prompts(self, prompts: Sequence[Prompt]) -> None:
        for prompt in prompts:
            self.prompt_ids.add(prompt["id"])
            for position in self.slots.add(prompt):
                self.enqueue(position)


class TrainerState:
    """All steps of a trainer at the holder of its duty.

    Attributes:
        name: The trainer's name.
        declared: The trainer's entry in the configuration.
        holding: The duty and the fencing number of its lease.
        version: The trainer's newest version.
        steps_by_number: The steps.
        rate: How many versions the trainer publishes for each step.
        token_intervals: Token intervals of the last generations.
        token_counts: Tokens generated and wasted.
        tokens_by_cause: Generated tokens by the cause of their attempt.
        forget_at: When the state is dropped if the duty is no longer held, in
            monotonic time.
        dropped_stale: Samples dropped for their age.
        unscored: Samples without a reward because scoring failed.
        order: The policy for the order of a step's slots.
        redispatch: The policy for moving slow generations.
    """

    def __init__(
        self, name: str, declared: Trainer, holding: HeldDuty, version: int
    ) -> None:
        self.name = name
        self.declared = declared
        self.holding = holding
        self.version = version
        self.steps_by_number: dict[int, Step] = {}
        self.rate = VersionRate()
        self.token_intervals = TokenIntervals()
        self.token_counts = TokenUsage()
        self.tokens_by_cause: Counter[str] = Counter()
        self.forget_at = 0.0
        self.dropped_stale = 0
        self.unscored = 0
        self.order = ORDER_POLICIES[
            declared.get("dispatch_order", "longest_first")
        ]()
        self.redispatch = REDISPATCH_POLICIES[
            declared.get("redispatch", "move_slow")
        ]()
        self._lookahead = LOOKAHEAD_POLICIES[
            declared.get("lookahead", "weighted")
        ]()

    def renew(self, declared: Trainer, holding: HeldDuty, version: int) -> None:
        """Continues under a new holding; each step must be reloaded."""
        self.declared = declared
        self.holding = holding
        self.version = max(self.version, version)
        for step in self.steps_by_number.values():
            step.synced = False

    def step(self, number: int) -> Step:
        """Returns a step, creating it if needed."""
        if number not in self.steps_by_number:
            self.steps_by_number[number] = Step(number, self.order)
        return self.steps_by_number[number]

    def open_steps(self) -> list[Step]:
        """Returns the steps that are not done, by ascending number."""
        return [
            step
            for _, step in sorted(self.steps_by_number.items())
            if not step.cursor.done
        ]

    def record_pull(self, number: int) -> None:
        """Records that the trainer pulls a step."""
        if number > self.rate.step:
            self.rate = self.rate.observe(number, self.version)

    def oldest_allowed_version(self, number: int) -> int:
        """Returns the oldest version allowed in a sample of a step."""
        bound = self.declared["staleness_bound_versions"]
        return oldest_allowed_version(
            self.version, bound, self._steps_ahead(number), self.rate
        )

    def oldest_running_version(self, number: int) -> int:
        """Returns the oldest version with which a generation may continue."""
        return min(self.oldest_allowed_version(number), self.version)

    def running_count(self) -> int:
        """Returns the number of generations in flight."""
        steps = self.steps_by_number.values()
        return sum(len(step.running_by_position) for step in steps)

    def next_slot(self) -> tuple[Step, Slot] | None:
        """Dequeues the next slot that look-ahead, age and memory allow."""
        steps = self.open_steps()
        if not steps:
            return None
        pulled = self.rate.step if self.rate.step >= 0 else steps[0].number
        ahead_left = self._slots_ahead(steps)
        held_bytes = 0
        for step in steps:
            if step.number > pulled:
                ahead_left -= len(step.samples_by_position) + len(
                    step.scoring_positions
                )
                ahead_left -= len(step.running_by_position)
                if ahead_left <= 0:
                    return None
                if self.oldest_allowed_version(step.number) > self.version:
                    return None
            held_bytes += step.held_bytes
            if held_bytes >= MAX_HELD_BYTES:
                return None
            slot = step.next_slot()
            if slot is not None:
                return step, slot
        return None

    def _steps_ahead(self, number: int) -> int:
        ahead = number - self.rate.step if self.rate.step >= 0 else 0
        pulled = self.steps_by_number.get(self.rate.step)
        pulled_step_done = pulled is not None and pulled.cursor.done
        if pulled_step_done and self.version > self.rate.version:
            ahead -= 1
        return max(0, ahead)

    def _slots_ahead(self, steps: Sequence[Step]) -> int:
        return self._lookahead.slots_ahead(
            LookaheadInputs(
                max(len(step.slots) for step in steps),
                self.declared["staleness_bound_versions"],
                self.rate.per_step,
                self.declared["staleness_weight"],
                self.declared["idle_weight"],
            )
        )
