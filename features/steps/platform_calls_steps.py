"""Steps on forwarded calls and streams, in-process."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when

from features.platform_fakes import (
    SERVICE,
    MemoryFleet,
    MemoryTarget,
    connect_to,
    lone_streams,
)
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.forwarding import ForwardedCall, Forwarder

RESPONSE_S = 0.02
TIMEOUT_S = 1.0
LONG_AGO_S = -1_000.0


def route(kind: CallKind, resumable: bool = True) -> ForwardRoute:
    return ForwardRoute(
        name="r",
        host="h",
        prefix="/c/",
        kind=kind,
        weight_by_service={SERVICE: 1.0},
        timeout_s=TIMEOUT_S,
        objective_s=0.2,
        max_attempts=2 if kind is CallKind.REPEATABLE else 3,
        resumable=resumable,
    )


@given("a forwarder before {count:d} targets of {slots:d} places")
def start_forwarder(context: Any, count: int, slots: int) -> None:
    clock = SystemClock()
    context.fleet_fakes = MemoryFleet(0, slots)
    context.target_by_name = context.fleet_fakes.target_by_name
    for number in range(count):
        target = MemoryTarget(f"f{number}")
        target.event_s = RESPONSE_S
        context.target_by_name[target.name] = target
    context.targets = DiscoveredTargets(
        "dc", {"dc": "r"}, clock, connect_to(context.target_by_name)
    )
    context.targets.replace(context.fleet_fakes.records(), LONG_AGO_S)
    context.forwarder = Forwarder(context.targets, clock)
    context.add_cleanup(context.forwarder.stop)
    context.request_count = 0


@given('the targets f0 and f1 have the fault "{fault}"')
def set_two_faults(context: Any, fault: str) -> None:
    for name in ("f0", "f1"):
        context.target_by_name[name].fault = fault


@given('target {name} has the fault "{fault}"')
def set_target_fault(context: Any, name: str, fault: str) -> None:
    context.target_by_name[name].fault = fault


@given('all targets have the fault "{fault}"')
def set_all_faults(context: Any, fault: str) -> None:
    for target in context.target_by_name.values():
        target.fault = fault


@given("there are no targets")
def remove_targets(context: Any) -> None:
    context.targets.replace([], LONG_AGO_S)


@given("the list of targets is read after {seconds:g} s")
def read_later(context: Any, seconds: float) -> None:
    context.targets = DiscoveredTargets(
        "dc",
        {"dc": "r"},
        SystemClock(),
        connect_to(context.target_by_name),
    )
    context.forwarder = Forwarder(context.targets, SystemClock())
    records = context.fleet_fakes.records()
    timer = threading.Timer(
        seconds, context.targets.replace, (records, LONG_AGO_S)
    )
    timer.start()
    context.add_cleanup(timer.join)


@given("target {name} is leaving")
def drain(context: Any, name: str) -> None:
    records = [
        record._replace(draining=record.name == name)
        for record in context.fleet_fakes.records()
    ]
    context.targets.replace(records, LONG_AGO_S)


def forwarded_call(
    context: Any,
    kind: CallKind,
    disconnected: Callable[[], bool] = lambda: False,
    body: bytes = b"",
    resumable: bool = True,
) -> ForwardedCall:
    context.request_count += 1
    now = monotonic()
    request = ProxiedRequest(
        f"c{context.request_count}", "POST", "/c/x", {}, body
    )
    return ForwardedCall(
        request, route(kind, resumable), SERVICE, now, now + 5.0, disconnected
    )


def forward(context: Any, forwarded: ForwardedCall) -> None:
    context.response = context.refusal = None
    started_at = monotonic()
    try:
        context.response = context.forwarder.forward(forwarded)
    except HibiscusError as error:
        context.refusal = error
    context.took_s = monotonic() - started_at


@when("a repeatable call is forwarded")
def forward_repeatable(context: Any) -> None:
    forward(context, forwarded_call(context, CallKind.REPEATABLE))


@when("a once-only call is forwarded")
def forward_once(context: Any) -> None:
    forward(context, forwarded_call(context, CallKind.ONCE))


@when("{count:d} repeatable calls are forwarded")
def forward_many(context: Any, count: int) -> None:
    context.responses = []
    for _ in range(count):
        forward(context, forwarded_call(context, CallKind.REPEATABLE))
        context.responses.append((context.response, context.took_s))


@when("a repeatable call is forwarded whose caller leaves after {seconds:g} s")
def forward_leaving(context: Any, seconds: float) -> None:
    disconnected_at = monotonic() + seconds
    forwarded = forwarded_call(
        context, CallKind.REPEATABLE, lambda: monotonic() >= disconnected_at
    )
    forward(context, forwarded)


@then("no attempt is at work {seconds:g} s later")
def check_no_attempt(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    in_flight_counts = [target.in_flight for target in context.targets.all()]
    assert not any(in_flight_counts), in_flight_counts


@then("the caller gets the target's whole answer within {limit:g} s")
def check_answer(context: Any, limit: float) -> None:
    assert context.response is not None, context.refusal
    assert context.response.status == 200 and context.response.body == b"answer"
    assert context.took_s < limit, context.took_s


@then("each caller gets the target's whole answer within {limit:g} s")
def check_answers(context: Any, limit: float) -> None:
    for response, took_s in context.responses:
        assert response is not None and response.status == 200, response
        assert took_s < limit, took_s


@then("the caller gets the target's status {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.response is not None and context.response.status == status


def run_count(context: Any) -> int:
    return sum(
        len(starts)
        for target in context.target_by_name.values()
        for starts in target.runs.values()
    )


@then("the call ran on {count:d} target")
@then("the call ran on {count:d} targets")
def check_runs(context: Any, count: int) -> None:
    assert run_count(context) == count, run_count(context)


@then("the call may have run on at most {count:d} targets")
def check_may_have_run(context: Any, count: int) -> None:
    # The fakes record a request in `runs` even if they refuse it.
    faults = {target.fault for target in context.target_by_name.values()}
    sent = 0 if faults & {"full", "unreachable"} else run_count(context)
    assert sent <= count, sent


@then('the caller is refused with "{code}", which ran "{ran}"')
def check_refused(context: Any, code: str, ran: str) -> None:
    assert context.refusal is not None, context.response
    found = (str(context.refusal.kind), str(context.refusal.ran))
    assert found == (code, ran), found


@then(
    "it was refused within {limit:g} s and may come back after {a:g} to {b:g} s"
)
def check_refused_early(context: Any, limit: float, a: float, b: float) -> None:
    assert context.took_s < limit, context.took_s
    assert a <= context.refusal.retry_after_s <= b


@then("it was answered between {a:g} and {b:g} s")
def check_took(context: Any, a: float, b: float) -> None:
    assert a <= context.took_s <= b, context.took_s


@then("target {name} ran none")
def check_ran_none(context: Any, name: str) -> None:
    assert not context.target_by_name[name].runs


@when("the list is read without {name} long after the store's return")
def replace_list_late(context: Any, name: str) -> None:
    replace_list(context, name, LONG_AGO_S)


@when("the list is read without {name} right after the store's return")
def replace_list_early(context: Any, name: str) -> None:
    replace_list(context, name, monotonic())


def replace_list(context: Any, name: str, regained_at: float) -> None:
    records = context.fleet_fakes.records()
    remaining = [record for record in records if record.name != name]
    context.targets.replace(remaining, regained_at)


@then("target {name} is out of use")
def check_out(context: Any, name: str) -> None:
    assert context.targets.get(name) is None


@then("target {name} is in use")
def check_in(context: Any, name: str) -> None:
    assert context.targets.get(name) is not None


@when("a stream of {count:d} events is forwarded")
def forward_stream(context: Any, count: int) -> None:
    read_stream(context, count, True)


@when("a stream of {count:d} events that may not be resumed is forwarded")
def forward_plain_stream(context: Any, count: int) -> None:
    read_stream(context, count, False)


def read_stream(context: Any, count: int, resumable: bool) -> None:
    streams = lone_streams(context.targets)
    body = str(count).encode()
    forwarded = forwarded_call(
        context, CallKind.STREAM, body=body, resumable=resumable
    )
    context.refusal = context.stream_error = context.response = None
    context.parts = b""

    def read() -> None:
        _, parts = streams.open(forwarded)
        for part in parts:
            context.parts += part

    with ThreadPoolExecutor(1) as executor:
        try:
            executor.submit(read).result(timeout=10)
        except HibiscusError as error:
            context.refusal = error
        except TargetError as error:
            context.stream_error = error


@then("the caller reads events 1 to {count:d} once each")
def check_events(context: Any, count: int) -> None:
    assert context.refusal is None and context.stream_error is None
    numbers = [int(line) for line in context.parts.split()]
    assert numbers == list(range(1, count + 1)), numbers


@then("the caller's stream is broken off")
def check_broken(context: Any) -> None:
    assert context.stream_error is not None, context.parts
