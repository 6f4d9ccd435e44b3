"""Steps on targets that name a request limit in their responses."""

import contextlib
import itertools
import threading
import time
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.platform_fakes import (
    ROUTE,
    SERVICE,
    MemoryFleet,
    MemoryTarget,
    job_contents,
    lone_streams,
)
from features.steps.platform_calls_steps import route
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions import limits, placement, queueing
from hibiscuspin.decisions.limits import TargetLimit
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.forwarding import ForwardedCall, Forwarder
from hibiscuspin.tasks.instances import Term
from hibiscuspin.tasks.weight_orders import WeightOrders

RATE_PER_S = 2.5
INSTANCES = "abcde"
CALLERS_PER_INSTANCE = 4
# What the users' rules allow a target to get.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


@then("the limit that the client reports is {limit}")
def check_reported_limit(context: Any, limit: str) -> None:
    expected: list[float | None] = []
    if limit != "unstated":
        expected.append(None if limit == "none" else float(limit))
    assert context.limits == expected, context.limits


@given("a target that named a limit at {at:g} s")
def set_known_limit(context: Any, at: float) -> None:
    context.limit = TargetLimit(RATE_PER_S, at)


@when("a response without a limit to a request sent at {sent:g} s arrives")
def receive_response(context: Any, sent: float) -> None:
    context.limit = limits.after_response(context.limit, None, sent, sent + 1)


@then("the target {has} a limit")
def check_limit(context: Any, has: str) -> None:
    assert (context.limit.rate_per_s is not None) == (has == "has")


class LoadRun:
    """Threads that send requests through the instances of a fleet."""

    def __init__(self, fleet: MemoryFleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._numbers = itertools.count()

    def start(self, send: Callable[[Forwarder, int], None]) -> None:
        """Starts threads that send until `stop`, on every instance."""
        threads = [
            threading.Thread(target=self._repeat, args=(name, send))
            for name in INSTANCES
            for _ in range(CALLERS_PER_INSTANCE)
        ]
        for thread in threads:
            thread.start()
        self._threads = threads

    def _repeat(
        self, name: str, send: Callable[[Forwarder, int], None]
    ) -> None:
        while not self._stop.wait(0.02):
            forwarder = self._fleet.forwarder_by_name.get(name)
            if forwarder is not None:
                with contextlib.suppress(HibiscusError):
                    send(forwarder, next(self._numbers))

    def stop(self) -> None:
        """Waits until the last requests have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()


def build_call(number: int, kind: CallKind) -> ForwardedCall:
    now = monotonic()
    request = ProxiedRequest(f"c{number}", "POST", "/c/x", {}, b"2")
    return ForwardedCall(
        request, route(kind), SERVICE, now, now + 1.0, lambda: False
    )


def send_call(forwarder: Forwarder, number: int) -> None:
    forwarder.forward(build_call(number, CallKind.REPEATABLE))


def send_stream(forwarder: Forwarder, number: int) -> None:
    streams = lone_streams(forwarder._targets)
    _, parts = streams.open(build_call(number, CallKind.STREAM))
    list(parts)


def submit_jobs(fleet: MemoryFleet, scored: bool) -> None:
    for name in "ab":
        contents = job_contents(f"j{name}", 30, 8, 2, scored=scored)
        fleet.jobs_by_name[name].submit(contents, ROUTE, monotonic() + 1.0)


@given("every target names a limit of {rate_per_s:g} requests a second")
def name_limits(context: Any, rate_per_s: float) -> None:
    fleet = context.memory
    fleet.route = ROUTE._replace(result_due_s=30.0, keep_s=60.0)
    for target in (
        *fleet.target_by_name.values(),
        *fleet.scorer_by_name.values(),
    ):
        target.limit_per_s = rate_per_s


@when("the instances {work} for {seconds:g} s")
def run_load(context: Any, work: str, seconds: float) -> None:
    fleet = context.memory
    send_by_work = {"forward calls": send_call, "open streams": send_stream}
    if work in send_by_work:
        load = LoadRun(fleet)
        load.start(send_by_work[work])
        time.sleep(seconds)
        load.stop()
        return
    scored = work == "score samples"
    if scored:
        # Only the scorers are to limit the samples.
        for target in fleet.target_by_name.values():
            target.limit_per_s = None
    submit_jobs(fleet, scored)
    time.sleep(seconds)


@when("the instances forward calls for {seconds:g} s while {event}")
def run_load_while(context: Any, seconds: float, event: str) -> None:
    fleet = context.memory
    load = LoadRun(fleet)
    load.start(send_call)
    started_at = monotonic()
    while monotonic() < started_at + seconds:
        time.sleep(1.0)
        change_fleet(fleet, event, int(monotonic() - started_at))
    load.stop()


def change_fleet(fleet: MemoryFleet, event: str, second: int) -> None:
    if event.startswith("b restarts"):
        fleet.start("b", str(second + 1))
    elif event.startswith("d and e") and second in (4, 5):
        fleet.start("de"[second - 4])
    elif event.startswith("c is lost") and second == 4:
        fleet.kill("c")
    elif event.startswith("no instance reaches"):
        for name, peers in fleet.peers_by_name.items():
            peers.cut_from = set(fleet.members) - {name}
    elif event.startswith("a and b don't reach"):
        for name, peers in fleet.peers_by_name.items():
            peers.cut_from = {"a", "b"} if name == "c" else {"c"}
    elif event.startswith("calls between"):
        for number, peers in enumerate(fleet.peers_by_name.values()):
            is_cut = (second + number) % 2 == 0
            peers.cut_from = set(fleet.members) if is_cut else set()


def limited_targets(context: Any) -> list[tuple[MemoryTarget, float]]:
    fleet = context.memory
    targets = [*fleet.target_by_name.values(), *fleet.scorer_by_name.values()]
    return [
        (target, target.limit_per_s)
        for target in targets
        if target.limit_per_s is not None and target.arrived_at
    ]


@then("from {s:g} s after that no target gets more than its limit allows")
def check_limits(context: Any, s: float) -> None:
    targets = limited_targets(context)
    assert targets
    for target, rate_per_s in targets:
        allowed = ALLOWED_FACTOR * rate_per_s * WINDOW_S + ALLOWED_EXTRA
        first = target.arrived_at[0] + s
        arrived = [at for at in target.arrived_at if at >= first]
        most = max(
            (
                sum(1 for other in arrived if 0 <= other - at < WINDOW_S)
                for at in arrived
            ),
            default=0,
        )
        assert most <= allowed, (target.name, most, allowed)


@then("from {s:g} s after that at least half of the limits is used")
def check_use(context: Any, s: float) -> None:
    for target, rate_per_s in limited_targets(context):
        first = target.arrived_at[0] + s
        arrived = [at for at in target.arrived_at if at >= first]
        span_s = max(target.arrived_at) - first
        assert len(arrived) >= rate_per_s * span_s / 2, (
            target.name,
            len(arrived),
            span_s,
        )


@given("a share that is lent to {name} until {until:g} s")
def set_share(context: Any, name: str, until: float) -> None:
    context.share = limits.OwnShare(name, until)


@when("{name} asks for it at {at:g} s until {until:g} s")
def ask_for_share(context: Any, name: str, at: float, until: float) -> None:
    context.lent = limits.lend(context.share, name, until, at)


@then("it is lent to {name} until {until:g}")
def check_lent(context: Any, name: str, until: float) -> None:
    assert context.lent == limits.OwnShare(name, until), context.lent


@then("it is not lent")
def check_not_lent(context: Any) -> None:
    assert context.lent is None


@given("a limit of {rate:g} requests a second and loans of {share:g}")
def set_rate(context: Any, rate: float, share: float) -> None:
    context.rate_per_s, context.share = rate, share


@when("{seconds:g} s pass with {tokens:g} tokens left")
def pass_time(context: Any, seconds: float, tokens: float) -> None:
    bucket = limits.TokenBucket(tokens, 100.0)
    context.bucket = limits.fill(
        bucket, context.rate_per_s, context.share, 100.0 + seconds
    )


@then("there are {tokens:g} tokens")
def check_tokens(context: Any, tokens: float) -> None:
    assert abs(context.bucket.tokens - tokens) < 1e-6, context.bucket


@given('the buckets "{buckets:Text}"')
def set_buckets(context: Any, buckets: str) -> None:
    words = buckets.split()
    context.buckets = dict(
        zip(words[::2], map(float, words[1::2]), strict=True)
    )


@when(
    "an instance asks for {live:d} live and {deferrable:d} deferrable tokens "
    "while live requests {wait} elsewhere"
)
def ask_for_tokens(context: Any, live: int, deferrable: int, wait: str) -> None:
    context.handed_out = limits.allocate(
        context.buckets, limits.Demand(live, deferrable), wait == "wait"
    )


@then('it gets "{tokens:Text}"')
def check_handed_out(context: Any, tokens: str) -> None:
    words = tokens.split()
    expected = {
        name: limits.Tokens(*map(int, text.split(",")))
        for name, text in zip(words[::2], words[1::2], strict=True)
    }
    assert context.handed_out == expected, context.handed_out


@given('targets "{targets}" with sends and free slots')
def set_views(context: Any, targets: str) -> None:
    fields = [text.split(":") for text in targets.split()]
    context.views = [
        TargetView(name, 4, 4 - int(free), answer_s=0.1, sends=float(sends))
        for name, sends, free in fields
    ]


@when("a {request} is placed within limits")
def place_request(context: Any, request: str) -> None:
    if request == "sample":
        requirements = placement.SampleRequirements(0, 10.0)
        context.chosen = placement.place_sample(
            context.views, requirements, 0.0
        )
        return
    context.chosen = placement.place_call(
        context.views, (), 0.0, unlimited_only=request == "hedge"
    )


@then('target "{name}" is chosen within limits')
def check_chosen(context: Any, name: str) -> None:
    chosen = context.chosen.name if context.chosen else "none"
    assert chosen == name, chosen


@given(
    "all targets are limited and {waiting:d} live requests wait for {rate:g} "
    "tokens a second"
)
def set_limited_load(context: Any, waiting: int, rate: float) -> None:
    wait_s = limits.token_wait_s(waiting, rate)
    context.load = queueing.ServiceLoad(0, 18, 0, 0.05, True, wait_s)


@when("a call with {left:g} s left asks for a place")
def ask_for_place(context: Any, left: float) -> None:
    context.decision = queueing.decide(context.load, 100.0, 100.0 + left)


@then("the call is told to {action} and to retry after {retry:g} s")
def check_decision(context: Any, action: str, retry: float) -> None:
    assert context.decision.action.name.lower() == action, context.decision
    assert context.decision.retry_after_s == retry, context.decision


@given(
    "target {name} names a limit of {rate:g} requests a second, from its first "
    "answer on"
)
def name_limit(context: Any, name: str, rate: float) -> None:
    context.memory.target_by_name[name].limit_per_s = rate


class Coordinator:
    """Stands for `Instances`, with a term that does not end."""

    member = LiveInstance("a", "1", "a/1", "dc")

    def begin_order(self, term: Term) -> bool:
        """Allows every order."""
        return True


@when(
    "a runs {count:d} samples of {events:d} events, and t0 and t1 are to load "
    "version {version:d}"
)
def load_weights(context: Any, count: int, events: int, version: int) -> None:
    fleet = context.memory
    contents = job_contents("j", 1, count, events)
    fleet.jobs_by_name["a"].submit(contents, ROUTE, monotonic() + 1.0)
    time.sleep(0.2)
    t0, t1 = fleet.target_by_name["t0"], fleet.target_by_name["t1"]
    context.runs_before = set(t0.runs), set(t1.runs)
    coordinator: Any = Coordinator()
    orders = WeightOrders(
        coordinator,
        fleet.discovered_by_name["a"],
        fleet.exchange_by_name["a"],
        dict,
        lambda service: False,
        fleet.clock,
    )
    stop = threading.Event()
    orders._clear_and_load(["t0", "t1"], "m", version, Term(1, 0.0), stop)
    time.sleep(1.5)
    orders._executor.shutdown()


@then("t0 is ordered to finish its runs, and none of them ran elsewhere")
def check_finished(context: Any) -> None:
    fleet = context.memory
    t0, t1 = fleet.target_by_name["t0"], fleet.target_by_name["t1"]
    assert [order.finish_first for order in t0.orders] == [True], t0.orders
    assert context.runs_before[0]
    assert not context.runs_before[0] & set(t1.runs)
    assert all(len(t0.runs[name]) == 1 for name in context.runs_before[0])


@then("t1 is not, and its runs went on elsewhere")
def check_moved(context: Any) -> None:
    fleet = context.memory
    t0, t1 = fleet.target_by_name["t0"], fleet.target_by_name["t1"]
    assert [order.finish_first for order in t1.orders] == [False], t1.orders
    moved = context.runs_before[1]
    assert moved
    assert all(name in t0.runs or len(t1.runs[name]) > 1 for name in moved), (
        moved,
        t0.runs,
    )
