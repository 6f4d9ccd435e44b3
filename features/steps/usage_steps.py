"""Steps on the counts and reports of organisations' requests."""

import random
from typing import Any

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from features.platform_fakes import SERVICE, MemoryFleet, lone_streams
from features.shared_store import FakeClock
from features.steps.platform_calls_steps import route
from features.usage_model import START_S, WINDOW_S, UsageModel
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.decisions.usage import true_time
from hibiscuspin.decisions.usage.true_time import TimeOffset
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.forwarding import ForwardedCall, Forwarder
from hibiscuspin.tasks.stream_forwarding import StreamForwarder
from hibiscuspin.tasks.usage.runs import RunTracker

SECONDS = st.sampled_from([0.4, 1.0, 3.0, 7.0, 12.0])
NAMES = st.sampled_from("abc")
RECENT_RESPONSES = 8
OUTAGE_HISTORIES = 8
ERRORS = {
    "refused": TargetError("refused", sent=True, refused=True),
    "unsent": TargetError("no connection", sent=False),
    "lost": TargetError("reset", sent=True),
}


class Recorded:
    """A `UsageRecorder` that keeps what it is told."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, str, float]] = []

    def record(
        self, request_id: str, organisation: str, began_at: float
    ) -> None:
        """Records a request."""
        self.rows.append((request_id, organisation, began_at))


@given(
    "a target whose last responses took {took:g} s, over a link of {link:g} s"
)
def make_tracker(context: Any, took: float, link: float) -> None:
    context.clock = FakeClock()
    context.clock.now = 0.0
    context.link_s = link
    context.recorded = Recorded()
    context.tracker = RunTracker(context.recorded, context.clock)
    for _ in range(RECENT_RESPONSES):
        context.tracker.add_response("a", took)
        context.tracker.add_response("b", took)


@when('a request has the attempts "{attempts}"')
def run_attempts(context: Any, attempts: str) -> None:
    runs = context.tracker.track("r", "o")
    for text in attempts.split(", "):
        target, sent, result, at = text.split()
        context.clock.now = float(sent)
        number = runs.sent(target, context.link_s)
        context.clock.now = float(at)
        if result == "answered":
            runs.answered(number)
        elif result in ERRORS:
            runs.failed(number, ERRORS[result])
    runs.finish()


@then("its run began at {began}")
def check_began(context: Any, began: str) -> None:
    found = [round(row[2], 3) for row in context.recorded.rows]
    assert found == ([] if began == "never" else [float(began)]), found


@when("a request has run for {seconds:g} s")
def run_long(context: Any, seconds: float) -> None:
    runs = context.tracker.track("r", "o")
    runs.sent("a", context.link_s)
    runs.check()
    assert not context.recorded.rows
    context.clock.now += seconds
    runs.check()


@then("it is recorded as begun at {began}")
def check_recorded(context: Any, began: str) -> None:
    check_began(context, began)


@given("a wall clock that has the right time")
def set_offset(context: Any) -> None:
    context.offset = TimeOffset(START_S, 0.0)


@when("it {kind} {error:g} s {way} for {seconds:d} s")
def step_clock(
    context: Any, kind: str, error: float, way: str, seconds: int
) -> None:
    error_s = error if way == "ahead" else -error
    for now in range(1, seconds + 1):
        context.offset = true_time.follow(
            context.offset, START_S + error_s, float(now)
        )


@then("true time is off by at most {most:g} s")
def check_offset(context: Any, most: float) -> None:
    assert abs(context.offset.offset_s - START_S) <= most, context.offset


@then(
    "of the offsets {own:g} by its own clock and {others} by others "
    "{chosen:g} is chosen"
)
def check_vote(context: Any, own: float, others: str, chosen: float) -> None:
    offsets = [float(text) for text in others.split(" and ")]
    assert true_time.choose_offset(own, offsets) == chosen


def usage_call(
    request_id: str, kind: CallKind, organisation: str, **fields: Any
) -> ForwardedCall:
    now = monotonic()
    request = ProxiedRequest(request_id, "POST", "/c/x", {}, b"2")
    return ForwardedCall(
        request,
        route(kind),
        SERVICE,
        now,
        now + 1.0,
        lambda: False,
        organisation=organisation,
        **fields,
    )


@then("a call of an organisation counts for it")
def check_counted(context: Any) -> None:
    assert usage_call("r", CallKind.ONCE, "o").counted_for == "o"


@then("a reward call and a relayed call count for nobody")
def check_uncounted(context: Any) -> None:
    for field in ("deferrable", "is_relayed"):
        call = usage_call("r", CallKind.ONCE, "o", **{field: True})
        assert call.counted_for == ""


@given("a forwarder and a stream forwarder that record usage")
def make_forwarders(context: Any) -> None:
    context.fleet = MemoryFleet(targets=2)
    context.add_cleanup(context.fleet.close)
    context.fleet.start("a")
    targets = context.fleet.discovered_by_name["a"]
    context.recorded = Recorded()
    clock = context.fleet.clock
    context.forwarder = Forwarder(targets, clock, usage=context.recorded)
    origins = lone_streams(targets)._origins
    context.streams = StreamForwarder(
        targets, origins, clock, usage=context.recorded
    )


@when(
    'they forward a call and a stream of "{organisation}", one of nobody and '
    "one that all targets refuse"
)
def forward_all(context: Any, organisation: str) -> None:
    forward = context.forwarder.forward
    context.began_at = monotonic()
    forward(usage_call("c", CallKind.REPEATABLE, organisation))
    forward(usage_call("n", CallKind.REPEATABLE, ""))
    _, parts = context.streams.open(
        usage_call("s", CallKind.STREAM, organisation)
    )
    list(parts)
    for target in context.fleet.target_by_name.values():
        target.fault = "full"
    try:
        forward(usage_call("x", CallKind.ONCE, organisation))
    except HibiscusError:
        context.was_refused = True


@then('one call and one stream of "{organisation}" are recorded')
def check_recorded_once(context: Any, organisation: str) -> None:
    rows = context.recorded.rows
    assert context.was_refused
    assert [row[:2] for row in rows] == [
        ("c", organisation),
        ("s", organisation),
    ], rows
    assert all(context.began_at <= row[2] <= monotonic() for row in rows)


class Holders(RuleBasedStateMachine):
    """Random histories of three instances, with the rules as invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.model = UsageModel()
        self.model.advance(8.0)

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @rule(name=NAMES, organisation=st.sampled_from("op"))
    def request(self, name: str, organisation: str) -> None:
        self.model.request(name, organisation)

    def _pick(self, name: str) -> str:
        """Returns the holder in place of "a", as most faults concern it."""
        found = self.model.instance_by_name.items()
        holders = [n for n, i in found if i.instances._term is not None]
        return holders[0] if holders and name == "a" else name

    @rule(name=NAMES, seconds=SECONDS, loses_answer=st.booleans())
    def kill(self, name: str, seconds: float, loses_answer: bool) -> None:
        self.model.answers_to_lose += loses_answer
        self.model.advance(seconds)
        self.model.start(self._pick(name))
        self.model.advance(seconds)

    @rule(name=NAMES, seconds=SECONDS)
    def freeze(self, name: str, seconds: float) -> None:
        instance = self.model.instance_by_name[self._pick(name)]
        instance.is_frozen = True
        self.model.advance(seconds)
        instance.is_frozen = False

    @rule(name=NAMES, seconds=SECONDS)
    def partition(self, name: str, seconds: float) -> None:
        instance = self.model.instance_by_name[self._pick(name)]
        instance.store.cut = True
        self.model.advance(seconds)
        instance.store.cut = False

    @rule(seconds=SECONDS)
    def store_outage(self, seconds: float) -> None:
        self.model.store.down = True
        self.model.advance(seconds)
        self.model.store.down = False

    @rule()
    def lose_answers(self) -> None:
        self.model.answers_to_lose = 2
        self.model.store.replies_to_lose = 1

    @rule(name=NAMES, step_s=st.sampled_from([-3.0, 0.0, 2.0]))
    def step_clock(self, name: str, step_s: float) -> None:
        self.model.instance_by_name[name].clock.step_s = step_s

    @invariant()
    def keeps_rules(self) -> None:
        assert not self.model.broken, self.model.broken
        assert not self.model.late_calls, self.model.late_calls

    def teardown(self) -> None:
        self.model.close()


@then("the rules on holders hold in random histories")
def check_histories(context: Any) -> None:
    run_state_machine_as_test(
        Holders,
        settings=settings(
            max_examples=40,
            stateful_step_count=25,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("a quiet history reports every window with its true counts")
def check_quiet(context: Any) -> None:
    model = UsageModel()
    rng = random.Random(1)
    model.advance(8.0)
    for number in range(150):
        model.request(rng.choice("abc"), rng.choice("op"))
        if number == 60:
            model.instance_by_name["b"].clock.step_s = 2.5
        model.advance(rng.choice([0.2, 0.4]))
    model.advance(12.0)
    model.close()
    reported = model.rules.counts_by_window
    for window, counts in model.true_counts.items():
        assert reported.get(window) == dict(counts), (window, reported)
    last = max(reported)
    assert last >= model.now // WINDOW_S - 2, last
    assert list(reported) == list(range(min(reported), last + 1)), reported
    assert not model.broken


@then(
    "requests before and in an outage of {seconds:g} s are reported, whoever "
    "counts"
)
def check_outage(context: Any, seconds: float) -> None:
    wrong = [
        (seed, window, reported, true)
        for seed in range(OUTAGE_HISTORIES)
        for window, reported, true in _play_outage(seed, seconds)
    ]
    assert not wrong, wrong


def _play_outage(
    seed: int, seconds: float
) -> list[tuple[int, dict[str, int] | None, dict[str, int]]]:
    """Returns the windows with requests that were not reported truly."""
    model = UsageModel()
    rng = random.Random(seed)
    model.advance(8.0 + rng.choice([0.0, 1.0, 2.0, 3.0, 4.0]))
    for name in "abc":
        model.request(name, "o")
    model.store.down = True
    model.advance(seconds / 2)
    for name in "abc":
        model.request(name, "p")
    model.advance(seconds / 2)
    model.store.down = False
    model.advance(20.0)
    model.close()
    assert not model.broken, model.broken
    reported = model.rules.counts_by_window
    return [
        (window, reported.get(window), dict(counts))
        for window, counts in model.true_counts.items()
        if reported.get(window) != dict(counts)
    ]
