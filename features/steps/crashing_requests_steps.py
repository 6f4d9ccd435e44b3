"""Steps on requests that crash their targets."""

import threading
import time
from typing import Any

from behave import given, then, when

from features.platform_fakes import (
    ROUTE,
    SERVICE,
    MemoryFleet,
    job_contents,
)
from features.steps.platform_calls_steps import route
from features.steps.platform_jobs_steps import JOB
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions import crashes, placement
from hibiscuspin.decisions.crashes import CrashRecord
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.crash_exchange import STORE_PREFIX
from hibiscuspin.tasks.forwarding import ForwardedCall

CRASHES_TO_REFUSAL = 3
REPEAT_PERIOD_S = 0.1
REFUSAL_CODE = "target_crasher"


@given(
    'the request "{body}" crashes each engine that runs it, for {seconds:g} s'
)
def set_crashing(context: Any, body: str, seconds: float) -> None:
    fleet = context.memory
    # The engines register again long after that.
    fleet.route = ROUTE._replace(result_due_s=30.0, keep_s=60.0)
    for target in fleet.target_by_name.values():
        target.crashing_body = body.encode()
        target.event_s = 0.02
    context.crashing_body = body.encode()


def send(fleet: MemoryFleet, name: str, request_id: str, body: bytes) -> str:
    """Sends a call through an instance; returns its error code, or ok."""
    now = monotonic()
    request = ProxiedRequest(request_id, "POST", f"/c/{body!r}", {}, body)
    call_route = route(CallKind.REPEATABLE)
    try:
        fleet.forwarder_by_name[name].forward(
            ForwardedCall(
                request,
                call_route,
                SERVICE,
                now,
                now + 1.0,
                lambda: False,
                fingerprint=crashes.fingerprint("h", "/c/x", "", body),
            )
        )
    except HibiscusError as error:
        return str(error.kind)
    return "ok"


@when(
    "it comes again at any instance for {seconds:g} s, beside other calls and "
    "a job, while {event}"
)
def repeat_request(context: Any, seconds: float, event: str) -> None:
    fleet = context.memory
    context.started_at = monotonic()
    context.ends_at = context.started_at + seconds
    context.codes = []
    context.job = job_contents(JOB, 4, 8, 30)
    fleet.jobs_by_name["a"].submit(context.job, ROUTE, monotonic() + 1.0)

    def repeat(name: str, is_crashing: bool) -> None:
        number = 0
        while monotonic() < context.ends_at:
            number += 1
            body = f"{name}{number}".encode()
            at = monotonic()
            if is_crashing:
                send(fleet, name, f"x{name}{number}", context.crashing_body)
            else:
                code = send(fleet, name, f"o{name}{number}", body)
                context.codes.append((at, code))
            time.sleep(REPEAT_PERIOD_S)

    threads = [
        threading.Thread(target=repeat, args=(name, is_crashing))
        for name in "abc"
        for is_crashing in (True, False, False)
    ]
    for thread in threads:
        thread.start()
    while monotonic() < context.ends_at:
        time.sleep(0.1)
        fleet.refresh_targets()
        members = dict(fleet.members)
        change_instances(fleet, event, monotonic() - context.started_at)
        if fleet.members != members:
            context.restarted_at = monotonic()
    for thread in threads:
        thread.join()


def change_instances(fleet: MemoryFleet, event: str, elapsed_s: float) -> None:
    if event.startswith("b restarts"):
        term = str(int(elapsed_s) + 1)
        if fleet.members["b"].term != term:
            fleet.start("b", term)
    elif event.startswith("all restart"):
        refused = fleet.store.scan(STORE_PREFIX, 0.0).values
        if refused and fleet.members["a"].term == "1":
            # None of the old processes answers the new ones, or runs a job.
            fleet.peers.handlers_by_address.clear()
            for name in "abc":
                fleet.kill(name)
            for name in "abc":
                jobs = fleet.start(name, "2")
                for job in jobs.own_unfinished():
                    assert jobs.adopt(job)
    elif event.startswith("c reaches no other"):
        is_cut = elapsed_s < 3.0
        fleet.peers_by_name["c"].cut_from = {"a", "b"} if is_cut else set()
        for name in "ab":
            peers = fleet.peers_by_name[name]
            peers.cut_from = {"c"} if is_cut else set()


@then(
    "from {s:g} s after the third crash it reaches engines at most {most:d} "
    "times"
)
def check_sends(context: Any, s: float, most: int) -> None:
    crashed_at = sorted(
        at
        for target in context.memory.target_by_name.values()
        for at in target.crashed_at
    )
    assert len(crashed_at) >= CRASHES_TO_REFUSAL, crashed_at
    third = crashed_at[CRASHES_TO_REFUSAL - 1]
    later = [at - third for at in crashed_at if at > third + s]
    assert len(later) <= most, (len(later), len(crashed_at))


@then("all instances have restarted, and it reached no engine after that")
def check_restarted(context: Any) -> None:
    fleet = context.memory
    assert {m.term for m in fleet.members.values()} == {"2"}, fleet.members
    later = [
        at
        for target in fleet.target_by_name.values()
        for at in target.crashed_at
        if at > context.restarted_at
    ]
    assert not later, later


@then("no other call is refused as crashing its targets")
def check_others_accepted(context: Any) -> None:
    codes = [code for _, code in context.codes]
    assert REFUSAL_CODE not in codes, codes


@then("in the last {s:g} s all other calls succeed")
def check_others_succeed(context: Any, s: float) -> None:
    codes = [code for at, code in context.codes if at > context.ends_at - s]
    assert codes
    assert set(codes) == {"ok"}, codes


@given("a call to target f0 ended since it {end}")
def set_end(context: Any, end: str) -> None:
    target = context.targets.get("f0")
    is_silent = end.startswith("fell silent")
    context.error = TargetError(
        end, sent=True, silent=is_silent, disconnected=not is_silent
    )
    target.says_draining = "drained" in end
    target.gone = "after it left" in end
    context.target = target
    memory = context.target_by_name["f0"]
    if "listens no more" in end or "drained" in end or "left" in end:
        memory.down_until = float("inf")
    if "can't be reached" in end:
        memory.is_unreachable = True


@when("a tracked call to target f0 is cut off")
def cut_off_call(context: Any) -> None:
    context.targets.record_if_crashed(
        context.target, context.error, "key", "c1", monotonic()
    )


@then("{count:d} crashes count against the call")
def check_crashes(context: Any, count: int) -> None:
    record = context.targets.crashes._record_by_key.get("key")
    assert (record.crashes if record else 0) == count, record


@given('a request with the history "{history}"')
def set_history(context: Any, history: str) -> None:
    record = None
    words = [] if history == "none" else history.split()
    for at, word in enumerate(words):
        if word == "ok":
            record = crashes.after_success(record or CrashRecord(), float(at))
        else:
            # Sent just before it crashed, or before all crashes: "t0@0".
            target, _, sent_at = word.partition("@")
            record = crashes.after_crash(
                record, target, float(sent_at or at - 0.5), float(at)
            )
    context.record = record


@when("another instance tells that t1 and t2 crashed under it")
def tell_crashes(context: Any) -> None:
    received = CrashRecord({"t1": 1.2, "t2": 2.0})
    context.record = crashes.merge(context.record, received)


@then("it is judged as {verdict}")
def check_verdict(context: Any, verdict: str) -> None:
    found = crashes.judge(context.record).name.lower()
    assert found == verdict, (found, context.record)


@given('targets "{texts}" with requests in flight and a suspect at {suspect}')
def set_suspect_views(context: Any, texts: str, suspect: str) -> None:
    fields = [text.split(":") for text in texts.split()]
    context.views = [
        TargetView(name, 6, int(count), suspects=int(name == suspect))
        for name, count in fields
    ]


@when("a suspect call is placed")
def place_suspect(context: Any) -> None:
    context.chosen = placement.place_call(context.views, (), 0.0, suspect=True)


@then('target "{name}" is chosen for the suspect')
def check_suspect_target(context: Any, name: str) -> None:
    assert context.chosen.name == name, context.chosen


@given(
    "the fingerprint of host {host}, path {path}, caller {caller} and body "
    "{body}"
)
def set_fingerprint(
    context: Any, host: str, path: str, caller: str, body: str
) -> None:
    context.fingerprint = crashes.fingerprint(host, path, caller, body.encode())


@then(
    "the fingerprint of host {host}, path {path}, caller {caller} and body "
    "{body} is {same}"
)
def check_fingerprint(
    context: Any, host: str, path: str, caller: str, body: str, same: str
) -> None:
    caller = "" if caller == "none" else caller
    found = crashes.fingerprint(host, path, caller, body.encode())
    assert (found == context.fingerprint) == (same == "the same")


@given("10 003 requests under which a target crashed")
def set_many_records(context: Any) -> None:
    context.records = {
        f"k{number}": CrashRecord({"t": 0.0}, seen_at=number / 1000)
        for number in range(crashes.MAX_RECORDS + 3)
    }


@then("the 3 that came first are dropped, and all after an hour")
def check_expired(context: Any) -> None:
    assert crashes.expired_keys(context.records, 20.0) == ["k0", "k1", "k2"]
    late = 20.0 + crashes.RECORD_TTL_S
    assert len(crashes.expired_keys(context.records, late)) == len(
        context.records
    )


@given("engines stop listening {s:g} s after their connections are closed")
def set_listening_after_close(context: Any, s: float) -> None:
    for target in context.memory.target_by_name.values():
        target.listens_after_crash_s = s


@when("instance a is sent it {count:d} times, {gap:g} s apart")
def send_repeatedly(context: Any, count: int, gap: float) -> None:
    for number in range(count):
        send(context.memory, "a", f"x{number}", context.crashing_body)
        time.sleep(gap)
        context.memory.refresh_targets()


@then("{count:d} crashes are known at a, and it is refused")
def check_known_crashes(context: Any, count: int) -> None:
    reports = context.memory.discovered_by_name["a"].crashes
    (record,) = reports._record_by_key.values()
    assert record.crashes == count, record
    code = send(context.memory, "a", "again", context.crashing_body)
    assert code == REFUSAL_CODE, code
