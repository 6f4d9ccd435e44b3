"""Steps on targets whose responses say that they are draining."""

import time
from functools import partial
from typing import Any

from behave import given, then, when

from features.platform_fakes import SERVICE, job_contents
from features.steps.http_client_steps import RawServer, no_check
from features.steps.platform_calls_steps import (
    TIMEOUT_S,
    forward,
    forwarded_call,
    read_stream,
)
from features.steps.platform_jobs_steps import wait_until
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.decisions.samples import RunOutcome
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    ProxiedRequest,
    TargetRecord,
    WeightOrder,
)
from hibiscuspin.platform.engines import EngineClient
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.sample_runs import RunLimits, Sample, SampleRun
from hibiscuspin.tasks.target_limits import Incarnation, Purpose, Send

NOTICE_S = 0.2
REQUEST = ProxiedRequest("c1", "POST", "/c/x", {}, b"1")
STATE = b'{"models":[],"busy":false,"seq_no":0,"running":0,"waiting":0}'


@given('a target that answers a {request} with status {status:d} and "{text}"')
def start_target(context: Any, request: str, status: int, text: str) -> None:
    body = STATE if request == "query" else b""
    headers = [*text.split(", "), "X-Request-Id: c1"]
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    lines = "".join(f"{header}\r\n" for header in headers)
    server = RawServer((head + lines + "\r\n").encode() + body, True)
    context.add_cleanup(server.listener.close)
    record = TargetRecord(
        "t", 1, SERVICE, server.address, "dc", 4, False, {"m": 1}
    )
    context.notices = []
    context.limits = []
    context.client = EngineClient(
        record,
        SystemClock(),
        lambda: context.notices.append("draining"),
        lambda rate_per_s, sent_at: context.limits.append(rate_per_s),
    )


@when("an instance sends it a {request}")
def send_request(context: Any, request: str) -> None:
    client = context.client
    deadline = monotonic() + 2.0
    order = WeightOrder("m", 2, False, "a", 1, 0)
    limits = WaitLimits(deadline, 1.0, no_check)
    call_by_request = {
        "call": lambda: client.send(REQUEST, deadline, no_check),
        "stream": lambda: client.open_stream(REQUEST, 0, limits).close(),
        "query": lambda: client.fetch_state(deadline),
        "order": lambda: client.send_order(order, deadline),
    }
    try:
        call_by_request[request]()
    except TargetError as error:
        context.error = error


@then("the target is known to be draining")
def check_known(context: Any) -> None:
    assert context.notices == ["draining"], context.notices


@then("the target is not known to be draining")
def check_not_known(context: Any) -> None:
    assert not context.notices


@given("the responses of target {name} say that it is draining")
def say_draining(context: Any, name: str) -> None:
    context.told = []
    context.targets.on_draining = context.told.append
    context.target_by_name[name].says_draining = True


@when('{count:d} requests of kind "{kind}" are forwarded')
def forward_kind(context: Any, count: int, kind: str) -> None:
    for _ in range(count):
        if kind == "stream":
            read_stream(context, 5, resumable=False)
            assert context.refusal is None, context.refusal
            continue
        is_repeatable = kind == "repeatable"
        call_kind = CallKind.REPEATABLE if is_repeatable else CallKind.ONCE
        forward(context, forwarded_call(context, call_kind))
        assert context.refusal is None, context.refusal


@then("target {name} ran at most {count:d}")
def check_run_count(context: Any, name: str, count: int) -> None:
    runs = context.target_by_name[name].runs
    assert 0 < len(runs) <= count, runs


@then("the list is told of target {name} once")
def check_told(context: Any, name: str) -> None:
    assert context.told == [Incarnation(name, 1)], context.told


@given(
    "target {name} becomes draining while an attempt at it waits for a thread"
)
def drain_before_send(context: Any, name: str) -> None:
    target = context.targets.get(name)
    sample = Sample(0, job_contents("j", 1, 1, 5).items[0])
    limits = RunLimits(
        "h", "m", 1, False, monotonic(), monotonic() + TIMEOUT_S, lambda: False
    )
    context.run = SampleRun(
        sample, target, context.targets, limits, SystemClock()
    )
    assert context.targets.try_start(target, Send("r", Purpose.SAMPLE))
    context.targets.record_draining(Incarnation(name, 1))


@then("the attempt is refused as not sent and target {name} ran none")
def check_not_sent(context: Any, name: str) -> None:
    assert context.run.run() is RunOutcome.REFUSED
    assert not context.target_by_name[name].runs
    health = context.run.target.health
    assert not health.failures, health


@when("the responses of engine {name} say that it is draining from {s:g} s on")
def say_draining_later(context: Any, name: str, s: float) -> None:
    time.sleep(s)
    target = context.memory.target_by_name[name]
    target.says_draining = True
    time.sleep(NOTICE_S)
    context.runs_at_notice = len(target.runs)


@then("engine {name} started no sample later than {s:g} s after that")
def check_started(context: Any, name: str, s: float) -> None:
    runs = context.memory.target_by_name[name].runs
    assert context.runs_at_notice and s == NOTICE_S
    # One more run tells the instance that the engine is draining.
    assert len(runs) <= context.runs_at_notice + 1, (
        len(runs),
        context.runs_at_notice,
    )


@given("a score takes {seconds:g} s")
def slow_scorers(context: Any, seconds: float) -> None:
    for scorer in context.memory.scorer_by_name.values():
        scorer.event_s = seconds


@given("the responses of scorer {name} say that it is draining")
def say_scorer_draining(context: Any, name: str) -> None:
    context.memory.scorer_by_name[name].says_draining = True


@then("scorer {name} got no reward call later than {s:g} s after its first")
def check_reward_calls(context: Any, name: str, s: float) -> None:
    scorer = context.memory.scorer_by_name[name]
    times = sorted(at for sent in scorer.sent_at.values() for at in sent)
    assert times and times[-1] <= times[0] + s, times


@given("the responses of engine {name} say that it is draining")
def say_engine_draining(context: Any, name: str) -> None:
    context.memory.target_by_name[name].says_draining = True


@when("{instance} queries engine {name}")
def query_engine(context: Any, instance: str, name: str) -> None:
    target = context.memory.discovered_by_name[instance].get(name)
    target.client.fetch_state(monotonic() + 1.0)


def is_out_of_use(targets: DiscoveredTargets, name: str) -> bool:
    return targets.get(name) is None


@then("b and c send engine {name} nothing more")
def check_all_told(context: Any, name: str) -> None:
    for instance in "abc":
        targets = context.memory.discovered_by_name[instance]
        assert wait_until(partial(is_out_of_use, targets, name), 1.0), instance
        assert name not in [v.name for v in targets.views(SERVICE, "m")]


@then("an order to load weights does not choose engine {name}")
def check_no_order(context: Any, name: str) -> None:
    targets = context.memory.discovered_by_name["a"].all()
    assert [t.name for t in targets if t.accepts_work] == ["t1"], targets
    assert name != "t1"


@when("b is told that incarnation {born:d} of engine {name} is draining")
def tell(context: Any, born: int, name: str) -> None:
    targets = context.memory.discovered_by_name["b"]
    assert targets.record_draining(Incarnation(name, born))


@then("{instance} uses engine {name}")
def check_used(context: Any, instance: str, name: str) -> None:
    assert context.memory.discovered_by_name[instance].get(name) is not None


@then("{instance} does not use engine {name}")
def check_not_used(context: Any, instance: str, name: str) -> None:
    assert context.memory.discovered_by_name[instance].get(name) is None


@when("the list shows incarnation {born:d} of engine {name}")
def list_incarnation(context: Any, born: int, name: str) -> None:
    records = [
        record._replace(born_ms=born) if record.name == name else record
        for record in context.memory.records()
    ]
    for targets in context.memory.discovered_by_name.values():
        targets.replace(records, 0.0)
