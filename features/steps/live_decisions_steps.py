"""Property tests and example tables of the decisions on live requests."""

from typing import Any

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hibiscuspin.decisions import ejection, retries, streams
from hibiscuspin.decisions.ejection import Health
from hibiscuspin.decisions.retries import RetryBudget
from hibiscuspin.decisions.streams import (
    GenerationStatus,
    StallAction,
    StreamState,
    TokenAction,
)

NAMES = ("a", "b", "c", "d")


class _BudgetMachine(RuleBasedStateMachine):
    """Checks that extra attempts stay within a share of the first ones.

    The budget allows a tenth of the first attempts and a fixed reserve.
    """

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget()
        self.first_attempts = 0
        self.extra_attempts = 0

    @rule(count=st.integers(1, 50))
    def first(self, count: int) -> None:
        for _ in range(count):
            self.budget = retries.after_first_attempt(self.budget)
        self.first_attempts += count

    @rule(wanted=st.integers(1, 50))
    def extra(self, wanted: int) -> None:
        for _ in range(wanted):
            remaining = retries.after_extra_attempt(self.budget)
            if remaining is not None:
                self.budget = remaining
                self.extra_attempts += 1

    @invariant()
    def bounded(self) -> None:
        limit = (
            retries.RESERVE_ATTEMPTS
            + retries.EXTRA_ATTEMPT_SHARE * self.first_attempts
        )
        assert self.extra_attempts <= limit + 1e-6

    @rule(
        now=st.floats(0, 1e6),
        deadline=st.floats(0, 1e6),
        least_s=st.floats(0, 100),
    )
    def attempt(self, now: float, deadline: float, least_s: float) -> None:
        if retries.may_start(now, deadline, least_s):
            assert now + least_s < deadline


class _EjectionMachine(RuleBasedStateMachine):
    """Checks that at least half of the targets stay eligible."""

    def __init__(self) -> None:
        super().__init__()
        self.health_by_name = {name: Health() for name in NAMES}
        self.in_flight_by_name = dict.fromkeys(NAMES, 0)
        self.now = 0.0

    def eligible(self) -> list[str]:
        return ejection.eligible_targets(
            NAMES, self.health_by_name, self.in_flight_by_name, self.now
        )

    @rule(seconds=st.floats(0, 30))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(data=st.data())
    def start(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.eligible()))
        self.in_flight_by_name[name] += 1

    @precondition(lambda self: any(self.in_flight_by_name.values()))
    @rule(data=st.data(), ok=st.booleans(), silent=st.booleans())
    def end(self, data: st.DataObject, ok: bool, silent: bool) -> None:
        busy = [n for n in NAMES if self.in_flight_by_name[n]]
        name = data.draw(st.sampled_from(busy))
        self.in_flight_by_name[name] -= 1
        health = self.health_by_name[name]
        if ok:
            health = ejection.after_success(health)
        else:
            health = ejection.after_failure(health, silent, self.now)
        self.health_by_name[name] = health

    @invariant()
    def enough_eligible(self) -> None:
        eligible = self.eligible()
        healthy = [n for n in NAMES if not self.health_by_name[n].ejections]
        assert len(eligible) >= len(NAMES) // 2
        assert set(healthy) <= set(eligible)

    @invariant()
    def ejections_are_bounded(self) -> None:
        latest = self.now + ejection.MAX_EJECTION_S
        for health in self.health_by_name.values():
            assert health.ejected_until <= latest


class _StreamMachine(RuleBasedStateMachine):
    """Checks that each token is passed on once, in order and without gaps.

    Streams stall, repeat tokens or move to another engine in between.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = StreamState()
        self.passed_on: list[int] = []
        self.next_position = 0
        self.streams_without_token = 0

    @rule(count=st.integers(1, 10))
    def tokens(self, count: int) -> None:
        for position in range(self.next_position, self.next_position + count):
            self.receive(position)
        self.next_position += count

    @rule(position=st.integers(0, 100))
    def stray_token(self, position: int) -> None:
        self.receive(position)

    @rule(
        found=st.none()
        | st.builds(
            GenerationStatus, st.booleans(), st.booleans(), st.integers(0, 100)
        ),
        back=st.integers(0, 5),
    )
    def stall(self, found: GenerationStatus | None, back: int) -> None:
        self.state, action = streams.after_status_query(self.state, found)
        if action is StallAction.MOVE:
            assert self.state.empty_resumes == 0
        self.next_position = max(0, self.state.received - back)

    def receive(self, position: int) -> None:
        self.state, action = streams.accept_token(self.state, position)
        if action is TokenAction.FORWARD:
            self.passed_on.append(position)

    @invariant()
    def complete_and_in_order(self) -> None:
        assert self.passed_on == list(range(self.state.received))
        assert self.state.empty_resumes < streams.MAX_EMPTY_RESUMES


MACHINES: dict[str, type[RuleBasedStateMachine]] = {
    "budget": _BudgetMachine,
    "ejection": _EjectionMachine,
    "stream": _StreamMachine,
}


@when("the live decision machine {machine} runs {cases:d} cases")
def run_machine(context: Any, machine: str, cases: int) -> None:
    bounds = settings(
        derandomize=True, database=None, max_examples=cases, deadline=None
    )
    context.violation = None
    try:
        run_state_machine_as_test(MACHINES[machine], settings=bounds)
    except AssertionError as error:
        context.violation = error


@then("no live decision case broke a rule")
def check_machine(context: Any) -> None:
    assert context.violation is None, context.violation


@when('a target\'s attempts end as "{outcomes}" one second apart')
def end_attempts(context: Any, outcomes: str) -> None:
    health = Health()
    for second, outcome in enumerate(outcomes.split()):
        if outcome == "ok":
            health = ejection.after_success(health)
        else:
            health = ejection.after_failure(
                health, outcome == "silent", float(second)
            )
    context.health = health


@then("it is ejected until second {until:d}")
def check_ejected(context: Any, until: int) -> None:
    assert context.health.ejected_until == until, context.health


@when("a stream with {empty:d} empty resumes finds its request {found}")
def query_request(context: Any, empty: int, found: str) -> None:
    state = StreamState(5, empty)
    status = GenerationStatus(found == "queued", found == "cancelled", 9)
    known = None if found == "unknown" else status
    context.action = streams.after_status_query(state, known)[1]


@then("its next step is {step}")
def check_step(context: Any, step: str) -> None:
    assert context.action.name == step, context.action


@given("{count:d} open live streams")
def set_streams(context: Any, count: int) -> None:
    context.open_streams = count


@then("a live stream pauses {pause:g} s between reads")
def check_pause(context: Any, pause: float) -> None:
    assert streams.pause_s(context.open_streams) == pause
