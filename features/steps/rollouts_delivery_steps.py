"""Property tests of `Steps`: random holders, store faults and pulls."""

from collections.abc import Callable
from typing import Any
from unittest import mock

import hypothesis.strategies as st
import msgspec
from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from features.steps.rollouts_faulty_store import FaultyStore
from hibiscuspin.clock import SystemClock
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.tasks.duties import HeldDuty
from hibiscuspin.tasks.samples import FinishedSample, SampleBody, StepBody
from hibiscuspin.tasks.step_store import StepStore
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.trainer_state import TrainerState
from hibiscuspin.tasks.versions import Versions
from hibiscuspin.tasks.weights import WeightRollouts

TRAINER = "appraiser"
DECLARED = {
    "team": "appraisal",
    "model": "tasador-lm",
    "staleness_bound_versions": 1,
    "staleness_weight": 0.5,
    "idle_weight": 0.5,
    "share": 1,
}
CONFIG: Any = {"trainers_by_name": {TRAINER: DECLARED}}
PROMPTS = 6
SAMPLES = 3


class Holder:
    """One instance with its own state that acts as the trainer's holder."""

    def __init__(self, store: FaultyStore, fencing: int) -> None:
        clock = SystemClock()
        self.holding = HeldDuty(f"trainer/{TRAINER}", fencing)
        versions = Versions(store, clock)  # type: ignore[arg-type]
        self.versions = versions
        self.steps = Steps(
            StepStore(store, clock),  # type: ignore[arg-type]
            versions,
            lambda _: True,
            clock,
        )

    def submit(self, prompts: range, final: bool) -> None:
        """Submits the prompts with these numbers."""
        body: StepBody = {
            "prompts": [
                {"id": f"p{i}", "prompt": "", "samples": 3, "max_tokens": 4}
                for i in prompts
            ],
            "final": final,
        }
        self.steps.submit(CONFIG, self.holding, TRAINER, 1, body)

    def pull(self, after: int) -> Any:
        """Pulls the batch after a cursor."""
        return self.steps.pull(CONFIG, self.holding, TRAINER, 1, after, 0.0)

    def generate(self, most: int) -> None:
        """Finishes up to `most` slots."""
        state = self.steps.trainers_by_name.get(TRAINER)
        for _ in range(most if state else 0):
            assert state is not None
            with self.steps.lock:
                found = state.next_slot()
                if found is not None:
                    self._finish_slot(state, *found)

    def _finish_slot(self, state: TrainerState, step: Any, slot: Any) -> None:
        version = state.version
        body = SampleBody(
            slot=slot.id(TRAINER, step.number),
            position=slot.position,
            prompt_id=slot.prompt["id"],
            index=slot.number,
            group=slot.prompt["id"],
            text="",
            tokens=1,
            versions=[{"version": version, "first": 0, "end": 1}],
            reward=None,
            engine="e",
            started_at_s=0.0,
            finished_at_s=0.0,
        )
        sample = FinishedSample(msgspec.json.encode(body), version, 1)
        self.steps.add_sample(state, step, slot.position, sample)


class Delivery(RuleBasedStateMachine):
    """Checks that a trainer gets each slot once across two holders.

    The holder with the higher fencing number is the current one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.fencing = 1
        self.holders = [Holder(self.store, 1), Holder(self.store, 2)]
        self.after = 0
        self.batch: list[str] = []
        self.acknowledged: list[str] = []
        self.batches_by_cursor: dict[int, list[str]] = {}
        self.version = 0
        self.submitted = 0

    @initialize()
    def open_step(self) -> None:
        """Submits the first prompts of the step."""
        self.store.fault = ""
        self.holders[1].submit(range(2), False)
        self.submitted = 2

    @rule(which=st.integers(0, 1), more=st.integers(0, 2))
    def submit(self, which: int, more: int) -> None:
        """Submits up to `more` further prompts."""
        if self.submitted >= PROMPTS:
            return
        end = min(PROMPTS, self.submitted + more)
        if self._try_submit(which, range(self.submitted, end), end == PROMPTS):
            self.submitted = end

    @rule(which=st.integers(0, 1), most=st.integers(1, 9))
    def generate(self, which: int, most: int) -> None:
        """Finishes some slots of one holder."""
        self.holders[which].generate(most)

    @rule(which=st.integers(0, 1), repeat=st.booleans())
    def pull(self, which: int, repeat: bool) -> None:
        """Pulls the next batch, or repeats the pull of the last one."""
        after = self.after - 1 if repeat and self.after else self.after
        try:
            response = self.holders[which].pull(after)
        except HibiscusError as error:
            assert error.kind in REFUSALS, error
            return
        self._receive(after, response)

    @rule(fault=st.sampled_from(["down", "lost", "late"]))
    def break_store(self, fault: str) -> None:
        """Injects a fault into the next store call."""
        self.store.fault = fault

    @rule()
    def apply_late(self) -> None:
        """Applies the delayed writes."""
        self.store.apply_delayed()

    @rule()
    def restart_other(self) -> None:
        """Replaces the older holder by one with a newer fencing number."""
        newest = max(h.holding.fencing for h in self.holders)
        older = min(range(2), key=lambda i: self.holders[i].holding.fencing)
        self.holders[older] = Holder(self.store, newest + 1)

    @rule()
    def publish(self) -> None:
        """Publishes the next version."""
        self.store.fault = ""
        self.version += 1
        newest = max(self.holders, key=lambda h: h.holding.fencing)
        newest.versions.publish(TRAINER, self.version, "")
        newest.steps.record_version(TRAINER, self.version)

    @invariant()
    def once(self) -> None:
        """Checks that no slot was acknowledged twice."""
        assert len(set(self.acknowledged)) == len(self.acknowledged)

    def teardown(self) -> None:
        """Ends all faults; then checks that every slot arrives once."""
        self.store.fault = ""
        self.store.apply_delayed()
        holder = max(self.holders, key=lambda h: h.holding.fencing)
        if self.submitted:
            _retry(lambda: holder.submit(range(PROMPTS), True))
            for _ in range(100):
                response = _retry(lambda: holder.pull(self.after))
                holder.generate(100)
                self._receive(self.after, response)
                if response["complete"]:
                    break
            slots = {
                f"{TRAINER}.1.p{i}.{k}"
                for i in range(PROMPTS)
                for k in range(SAMPLES)
            }
            assert sorted(self.acknowledged) == sorted(slots), len(
                self.acknowledged
            )
        super().teardown()

    def _try_submit(self, which: int, prompts: range, final: bool) -> bool:
        try:
            self.holders[which].submit(prompts, final)
        except HibiscusError as error:
            assert error.kind in REFUSALS, error
            return False
        return True

    def _receive(self, after: int, response: Any) -> None:
        if response["complete"]:
            self.acknowledged += self.batch
            self.batch = []
            return
        if response["cursor"] == after:
            return
        slots = sorted(sample["slot"] for sample in response["samples"])
        first_slots = self.batches_by_cursor.setdefault(
            response["cursor"], slots
        )
        assert first_slots == slots, "a repeated pull returned other slots"
        if after == self.after:
            self.acknowledged += self.batch
            self.batch = slots
            self.after = response["cursor"]


def _retry(call: Callable[[], Any]) -> Any:
    """Makes a call; retries it up to twice if it is refused."""
    for _ in range(2):
        try:
            return call()
        except HibiscusError as error:
            assert error.kind in REFUSALS, error
    return call()


REFUSALS = (
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.NOT_HOLDER,
    ErrorKind.BAD_CURSOR,
    ErrorKind.UNKNOWN_STEP,
    ErrorKind.BAD_FIELD,
)


class Staleness(RuleBasedStateMachine):
    """Checks the staleness bound while the trainer publishes versions."""

    def __init__(self) -> None:
        super().__init__()
        self.holder = Holder(FaultyStore(), 1)
        self.holder.submit(range(PROMPTS), True)
        self.after = 0
        self.version = 0

    @rule(most=st.integers(1, 9))
    def generate(self, most: int) -> None:
        """Finishes up to `most` slots."""
        self.holder.generate(most)

    @rule()
    def publish(self) -> None:
        """Publishes the next version."""
        self.version += 1
        self.holder.versions.publish(TRAINER, self.version, "")
        self.holder.steps.record_version(TRAINER, self.version)

    @rule(repeat=st.booleans())
    def pull(self, repeat: bool) -> None:
        """Pulls the next batch, or repeats the pull of the last one."""
        after = self.after - 1 if repeat and self.after else self.after
        try:
            response = self.holder.pull(after)
        except HibiscusError as error:
            assert error.kind is ErrorKind.BAD_CURSOR, error
            return
        for sample in response["samples"]:
            oldest = min(span["version"] for span in sample["versions"])
            bound = DECLARED["staleness_bound_versions"]
            assert oldest >= self.version - bound, (oldest, self.version)  # type: ignore[operator]
        self.after = max(self.after, response["cursor"])


@then(
    "{count:d} random histories of two holders, lost answers, outages and "
    "repeated pulls deliver each slot once"
)
def check_delivery(context: Any, count: int) -> None:
    run_state_machine_as_test(Delivery, settings=_settings(count))


@then(
    "{count:d} random histories of publications and pulls hand over no "
    "sample over the bound"
)
def check_staleness(context: Any, count: int) -> None:
    run_state_machine_as_test(Staleness, settings=_settings(count))


@given("a trainer whose samples are 1 MB each")
def large_samples(context: Any) -> None:
    context.holder = Holder(FaultyStore(), 1)
    context.holder.submit(range(100), True)


@then("at most {most:d} samples are started before it pulls")
def check_back_pressure(context: Any, most: int) -> None:
    state = context.holder.steps.trainers_by_name[TRAINER]
    started = 0
    while (found := state.next_slot()) is not None:
        step, slot = found
        assert step.add_sample(
            slot.position, FinishedSample(bytes(1 << 20), 0, 1)
        )
        started += 1
    assert 0 < started <= most, started


def _settings(count: int) -> settings:
    return settings(
        derandomize=True,
        database=None,
        max_examples=count,
        stateful_step_count=40,
        deadline=None,
    )


STORE_FAULTS = {
    "takes late": "late",
    "takes late and is down": "late and refused",
    "refuses": "refused",
}


@given("a store that {answers} at the next writes")
def set_store_fault(context: Any, answers: str) -> None:
    context.store = FaultyStore()
    context.holder = Holder(context.store, 1)
    context.store.fault = STORE_FAULTS[answers]


@when("a trainer {call}")
def call_as_trainer(context: Any, call: str) -> None:
    holder = context.holder
    other: Any = mock.Mock()
    store: Any = context.store
    weights = WeightRollouts("a", other, store, SystemClock(), other, other)
    calls: dict[str, Callable[[], object]] = {
        "submits prompts": lambda: holder.submit(range(1), True),
        "publishes a version": lambda: holder.versions.publish(TRAINER, 1, ""),
        "rolls weights out": lambda: weights.roll_out("tasador-lm", 1, ""),
    }
    if call == "rolls weights out":
        # Several attempts, all refused.
        store.get = mock.Mock(side_effect=StoreError("refused", False))
    context.refusal = None
    try:
        calls[call]()
    except HibiscusError as error:
        context.refusal = error


@then('it is told "{code}", and whether it ran is "{ran}"')
def check_told(context: Any, code: str, ran: str) -> None:
    assert context.refusal is not None
    assert str(context.refusal.kind) == code, context.refusal
    assert str(context.refusal.ran) == ran, context.refusal.ran
