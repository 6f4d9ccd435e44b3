"""Steps on the task that orders engines, and on samples of leaving engines."""

import random
import threading
from typing import Any

import msgspec
from behave import given, then, when

from features.platform_fakes import MemoryPeers, MemoryTarget, connect_to
from features.shared_store import FakeClock
from features.steps.platform_adapter_steps import stored_value
from features.steps.platform_jobs_steps import wait_until
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.duty_calls import (
    DutyCallError,
    EngineCountOrder,
    EngineCountOutcome,
)
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.metrics import Metrics
from hibiscuspin.platform import registrations
from hibiscuspin.settings import Address
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Term
from hibiscuspin.tasks.route_table import Routes
from hibiscuspin.tasks.scaling.engine_orders import EngineOrders
from hibiscuspin.tasks.scaling.waiting_samples import WaitingSamples
from hibiscuspin.tasks.target_exchange import LOAD_METHOD, TargetExchange

LIMITS = ScalingLimits(3, 8, 4.0, 0.2, {"dc": 1.0})
WAITING = {"llm": 5}
ENTRY = (
    b'{"state": "draining", "slots": 8, "service": "llm", "zone": "dc",'
    b'"address": "127.0.0.1:1", "born": 1, "spot": true, "leaves_ms": 2500}'
)
ERRORS = {
    "no response": DutyCallError("timeout", applied=None),
    "429": DutyCallError("429", applied=False),
    "400": DutyCallError("400", applied=False, is_final=True),
}
CASES: dict[str, dict[str, Any]] = {
    "it has a term": {},
    "it has no term": {"term": None},
    "its term allows orders only later": {"term": Term(7, 1001.0)},
    "its term ends before the call": {"may_begin": False},
    "its list is old": {"list_age_s": 5.0},
    "the store was out until a moment ago": {"reconnected_at": 998.0},
}


class FakeInstances:
    """One instance's term, and its view of who coordinates."""

    def __init__(self, name: str, term: Term | None, *, may_begin: bool = True):
        self.member = LiveInstance(name, "1", name, "dc")
        self.held_term = term
        self.may_begin = may_begin

    def term(self) -> Term | None:
        return self.held_term

    def begin_order(self, term: Term) -> bool:
        return self.may_begin and term == self.held_term

    def coordinator(self) -> str:
        return "c"


class FakeDutyCalls:
    """Accepts all orders, or answers them all in the same way."""

    def __init__(self) -> None:
        self.orders: list[tuple[int, EngineCountOrder]] = []
        self.error: DutyCallError | None = None
        self.outcome = EngineCountOutcome.ACCEPTED

    def set_engine_count(
        self, holder: Any, order: EngineCountOrder, deadline: float
    ) -> EngineCountOutcome:
        self.orders.append((holder.fencing, order))
        if self.error is not None:
            raise self.error
        return self.outcome


class WaitingJob:
    """An open job with samples that wait."""

    service = "llm"

    def waiting_samples(self) -> int:
        return WAITING["llm"]


def memory_targets(clock: Any, count: int) -> DiscoveredTargets:
    names = [f"t{n}" for n in range(count)]
    by_name = {name: MemoryTarget(name) for name in names}
    return DiscoveredTargets("dc", {"dc": "r"}, clock, connect_to(by_name))


@given(
    "an instance before {count:d} engines, which are to be {least:d} at least"
)
def set_instance(context: Any, count: int, least: int) -> None:
    assert least == LIMITS.minimum
    context.clock = FakeClock()
    context.targets = memory_targets(context.clock, count)
    context.records = [
        TargetRecord(
            f"t{n}", 1, "llm", Address("127.0.0.1", n + 1), "dc", 8, False, {}
        )
        for n in range(count)
    ]


def engine_orders(context: Any, instances: Any) -> EngineOrders:
    context.metrics = Metrics()
    return EngineOrders(
        instances,
        context.targets,
        context.calls,
        Routes(random.Random(1)),
        lambda: {"llm": LIMITS},
        WaitingSamples(list, lambda: ["llm"], context.clock),
        lambda: 3.0,
        ["dc"],
        context.clock,
        context.metrics,
    )


@when("it has a term")
@when("it has no term")
@when("its term allows orders only later")
@when("its term ends before the call")
@when("its list is old")
@when("the store was out until a moment ago")
def look(context: Any) -> None:
    case = {"term": Term(7, 1000.0), **CASES[context.scenario._row["case"]]}
    context.targets.replace(context.records, case.get("reconnected_at", 0.0))
    context.clock.sleep(case.get("list_age_s", 0.0))
    instances: Any = FakeInstances(
        "c", case["term"], may_begin=case.get("may_begin", True)
    )
    context.calls = FakeDutyCalls()
    task = engine_orders(context, instances)
    task.look()
    task._executor.shutdown()


@then("it sends {count:d} orders")
def check_orders(context: Any, count: int) -> None:
    expected = [(7, EngineCountOrder("llm", "dc", 3))] * count
    assert context.calls.orders == expected, context.calls.orders


@when('the platform answers an order with "{answer}"')
def answer_order(context: Any, answer: str) -> None:
    context.calls = FakeDutyCalls()
    context.calls.error = ERRORS.get(answer)
    if answer == "409":
        context.calls.outcome = EngineCountOutcome.UNAVAILABLE
    task = engine_orders(context, FakeInstances("c", Term(7, 1000.0)))
    context.sent_at = []
    for _ in range(10):
        context.targets.replace(context.records, 0.0)
        sent = len(context.calls.orders)
        task.look()
        assert wait_until(lambda: not task._calls_in_flight, 2.0)
        if len(context.calls.orders) > sent:
            context.sent_at.append(context.clock.now)
        context.clock.sleep(1.0)
    task._executor.shutdown()


@then("the order counts as {outcome}, and is due again after {s:d} s")
def check_due_again(context: Any, outcome: str, s: int) -> None:
    assert context.sent_at[1] - context.sent_at[0] == s, context.sent_at
    counted = context.metrics.engine_orders.labels("llm", outcome)
    assert counted._value.get() == len(context.calls.orders)


@given("a holder with {count:d} waiting samples and a coordinator")
def set_holder(context: Any, count: int) -> None:
    context.clock = FakeClock()
    context.peers = MemoryPeers()
    context.jobs = [WaitingJob()]
    context.services = ["llm"]
    context.exchange_by_name = {}
    for name, jobs in (("h", context.jobs), ("c", [])):
        instances: Any = FakeInstances(name, None)
        peers: Any = context.peers
        exchange = TargetExchange(
            memory_targets(context.clock, 1),
            jobs.copy,
            instances,
            peers,
            context.clock,
            lambda: context.services,
        )
        context.peers.handlers_by_address[name] = exchange.handlers()
        context.exchange_by_name[name] = exchange
    context.coordinator = LiveInstance("c", "1", "c", "dc")


@when("the holder exchanges its load")
def exchange_load(context: Any) -> None:
    context.exchange_by_name["h"].exchange_load(context.coordinator)


@then("the coordinator counts {count:d} waiting samples")
def check_waiting(context: Any, count: int) -> None:
    waiting = context.exchange_by_name["c"].waiting
    assert waiting.total() == {"llm": count}, waiting.total()
    context.clock.sleep(2.0)
    assert not waiting.total(), "a holder that no longer reports counts"


def record_messages(context: Any, *, accepts: int) -> list[list[Any]]:
    messages: list[list[Any]] = []

    def serve(body: bytes) -> bytes:
        row = msgspec.msgpack.decode(body)
        messages.append(row)
        if len(row) > accepts:
            raise HibiscusError(ErrorKind.INTERNAL, "malformed")
        return msgspec.msgpack.encode(("c", {}))

    context.peers.handlers_by_address["c"] = {LOAD_METHOD: serve}
    return messages


@when("nothing waits, or no service is scaled")
def wait_for_none(context: Any) -> None:
    context.messages = record_messages(context, accepts=2)
    job = context.jobs.pop()
    exchange_load(context)
    context.jobs.append(job)
    context.services = []
    exchange_load(context)
    context.services = ["llm"]


@then("the message has {count:d} fields, as before")
def check_fields(context: Any, count: int) -> None:
    assert [len(row) for row in context.messages] == [count, count]


@when("the coordinator is replaced by an earlier build")
def replace_coordinator(context: Any) -> None:
    context.messages = record_messages(context, accepts=3)


@then("the second exchange with it succeeds")
def check_second(context: Any) -> None:
    exchange_load(context)
    exchange_load(context)
    assert [len(row) for row in context.messages] == [4, 2], context.messages


def read_entry(context: Any, now: int) -> None:
    value = stored_value(registrations.TARGET_PREFIX + "t0", ENTRY)
    record = registrations.decode_record(value, float(now))
    assert record is not None and record.interruptible
    context.targets.replace([record], 0.0)


@when(
    "the entry of an interruptible engine says at {now:d} s that it leaves in "
    "2500 ms"
)
def read_first(context: Any, now: int) -> None:
    context.targets = memory_targets(FakeClock(), 1)
    read_entry(context, now)


@when("the same entry is read at {now:d} s")
def read_again(context: Any, now: int) -> None:
    read_entry(context, now)


@then("the engine leaves at {at:g} s")
def check_leaves_at(context: Any, at: float) -> None:
    (target,) = context.targets.all()
    assert target.record.leaves_at == at, target.record


@when("engine {name} says after {s:g} s that it leaves in {left:g} s")
def leave(context: Any, name: str, s: float, left: float) -> None:
    memory = context.memory
    target = memory.target_by_name[name]
    assert wait_until(lambda: target.running_count >= 4, 2.0)
    threading.Event().wait(s)
    leaves_at = monotonic() + left
    for targets in memory.discovered_by_name.values():
        targets.replace(
            [
                row._replace(draining=True, leaves_at=leaves_at)
                if row.name == name
                else row
                for row in memory.records()
            ],
            0.0,
        )
    context.begun_there = set(target.runs)


@then("engine {name} runs no sample {s:g} s later")
def check_left(context: Any, name: str, s: float) -> None:
    target = context.memory.target_by_name[name]
    assert wait_until(lambda: target.running_count == 0, s), target.runs


@then("the samples of {name} went on elsewhere from their events")
def check_moved(context: Any, name: str) -> None:
    others = [
        target
        for other, target in context.memory.target_by_name.items()
        if other != name
    ]
    for item in context.begun_there:
        runs = [after for t in others for after in t.runs.get(item, ())]
        assert runs and min(runs) > 0, (item, runs)
