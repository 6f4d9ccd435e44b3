"""Steps on instances that lose their links to all targets."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple
from unittest import mock

from behave import given, then, when

from features.platform_fakes import SERVICE, MemoryFleet, MemoryInstances
from features.steps.platform_calls_steps import route
from features.steps.platform_jobs_steps import JOB, wait_until
from features.steps.software_versions_steps import new_streams, read_all
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions.reach import (
    ISOLATION_S,
    Reach,
    after_answer,
    after_unanswered,
    is_doubtful,
    is_isolated,
)
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.tasks.discovered import DiscoveredTarget
from hibiscuspin.tasks.forwarding import ForwardedCall
from hibiscuspin.tasks.job_recovery import JobRecovery
from hibiscuspin.tasks.job_store import JobStore
from hibiscuspin.tasks.peer_targets import (
    MAX_REQUESTS_PER_PEER,
    PeerTargets,
)

CALL_PERIOD_S = 0.05
CALL_TIMEOUT_S = 2.0
CUT_FROM_S = 1.0
CUT_UNTIL_S = 4.0
ONCE_SHARE = 0.3
ONCE_PATH = "/once/x"
SERVED_SHARE = 0.9
NOTICE_S = 3.0
# Longer than the time between two offers of the jobs of an isolated instance.
HOLDER_LEAD_S = 2.0
RETURN_S = 1.0
STEP_S = 0.1


class CallRecord(NamedTuple):
    """One call as its caller saw it; times from the start of the calls."""

    request_id: str
    instance: str
    kind: CallKind
    started_s: float
    took_s: float
    error: HibiscusError | None


def send(
    fleet: MemoryFleet, name: str, number: int, kind: CallKind
) -> HibiscusError | None:
    """Sends a call through an instance; returns its error."""
    now = monotonic()
    request_id = f"{name}-{number}"
    path = ONCE_PATH if kind is CallKind.ONCE else "/c/x"
    request = ProxiedRequest(request_id, "POST", path, {}, b"")
    try:
        fleet.forwarder_by_name[name].forward(
            ForwardedCall(
                request,
                route(kind)._replace(timeout_s=CALL_TIMEOUT_S),
                SERVICE,
                now,
                now + CALL_TIMEOUT_S,
                lambda: False,
                fingerprint=request_id,
            )
        )
    except HibiscusError as error:
        return error
    return None


def run_calls(context: Any, seconds: float) -> list[threading.Thread]:
    """Starts callers at each instance, each call in a thread of its own."""
    fleet = context.memory
    fleet.route_of_request = lambda request: route(
        CallKind.ONCE if request.target == ONCE_PATH else CallKind.REPEATABLE
    )
    context.calls = []
    context.calls_started_at = started_at = monotonic()
    rng = random.Random(1)

    def call(name: str, number: int, kind: CallKind) -> None:
        begun = monotonic()
        error = send(fleet, name, number, kind)
        context.calls.append(
            CallRecord(
                f"{name}-{number}",
                name,
                kind,
                begun - started_at,
                monotonic() - begun,
                error,
            )
        )

    def come(name: str) -> None:
        threads = []
        for number in range(int(seconds / CALL_PERIOD_S)):
            is_once = rng.random() < ONCE_SHARE
            kind = CallKind.ONCE if is_once else CallKind.REPEATABLE
            threads.append(
                threading.Thread(target=call, args=(name, number, kind))
            )
            threads[-1].start()
            time.sleep(CALL_PERIOD_S)
        for thread in threads:
            thread.join()

    callers = [threading.Thread(target=come, args=(name,)) for name in "abc"]
    for caller in callers:
        caller.start()
    return callers


@when(
    "calls come at each instance for {seconds:g} s, while from 1 s to 4 s the "
    "links of {cut} {fault:w}"
)
def come_during_cut(context: Any, seconds: float, cut: str, fault: str) -> None:
    fleet = context.memory
    for target in fleet.target_by_name.values():
        target.event_s = 0.02
    callers = run_calls(context, seconds)
    time.sleep(CUT_FROM_S)
    for name in cut.split(" and "):
        fleet.links_by_name[name].fault = fault
    time.sleep(CUT_UNTIL_S - CUT_FROM_S)
    for name in cut.split(" and "):
        fleet.links_by_name[name].fault = ""
    for caller in callers:
        caller.join()


@when(
    "calls come at each instance for {seconds:g} s, while t0 and t1 are "
    "{fault:w}"
)
def come_with_faults(context: Any, seconds: float, fault: str) -> None:
    for name in ("t0", "t1"):
        context.memory.target_by_name[name].fault = fault
    for caller in run_calls(context, seconds):
        caller.join()


@then("nine tenths of the calls at each instance are served")
def check_served(context: Any) -> None:
    for name in "abc":
        calls = [call for call in context.calls if call.instance == name]
        served = [call for call in calls if call.error is None]
        failed = [
            (round(call.started_s, 2), str(call.error))
            for call in calls
            if call.error is not None
        ]
        assert len(served) >= SERVED_SHARE * len(calls), (
            name,
            len(served),
            len(calls),
            failed[:5],
        )


@then(
    "those at {cut} from {seconds:g} s after the cut are answered within "
    "{limit_s:g} s each"
)
def check_answered_soon(
    context: Any, cut: str, seconds: float, limit_s: float
) -> None:
    late = [
        call
        for call in context.calls
        if call.instance in cut.split(" and ")
        and CUT_FROM_S + seconds <= call.started_s <= CUT_UNTIL_S
        and (call.error is not None or call.took_s > limit_s)
    ]
    assert not late, (len(late), late[:3])


def runs_by_request(context: Any) -> dict[str, int]:
    count_by_request: dict[str, int] = {}
    for target in context.memory.target_by_name.values():
        for request_id, sent_at in target.sent_at.items():
            known = count_by_request.get(request_id, 0)
            count_by_request[request_id] = known + len(sent_at)
    return count_by_request


@then("no call that must not be repeated ran twice")
def check_once(context: Any) -> None:
    runs = runs_by_request(context)
    once = [call for call in context.calls if call.kind is CallKind.ONCE]
    assert once
    twice = [c.request_id for c in once if runs.get(c.request_id, 0) > 1]
    assert not twice, twice


@then("no refused call has run")
def check_refused_not_run(context: Any) -> None:
    runs = runs_by_request(context)
    untrue = [
        call.request_id
        for call in context.calls
        if call.error is not None
        and call.error.ran is ExecutionStatus.NO
        and runs.get(call.request_id, 0)
    ]
    assert not untrue, untrue


@then("no target counts as crashed")
def check_no_crash(context: Any) -> None:
    for name, targets in context.memory.discovered_by_name.items():
        records = targets.crashes._record_by_key
        assert not any(r.crashes for r in records.values()), (name, records)
    kinds = {call.error.kind for call in context.calls if call.error}
    assert ErrorKind.TARGET_CRASHER not in kinds


@then("each instance sends to targets itself again at the end")
def check_return(context: Any) -> None:
    for name, targets in context.memory.discovered_by_name.items():
        returns_by = monotonic() + RETURN_S
        while targets.reach.is_doubtful and monotonic() < returns_by:
            time.sleep(0.01)
        assert not targets.reach.is_doubtful, name


@then("no instance took its links for lost")
def check_not_lost(context: Any) -> None:
    for name, targets in context.memory.discovered_by_name.items():
        assert not targets.reach.is_doubtful, name


def set_stream_route(fleet: MemoryFleet) -> None:
    fleet.route_of_request = lambda request: route(CallKind.STREAM)


@then("no call was sent to more than {most:d} targets at once")
def check_spread(context: Any, most: int) -> None:
    links = context.memory.links_by_name.values()
    waiting = max(link.most_waiting_by_request for link in links)
    assert 0 < waiting <= most, waiting


@given("the links of a {fault:w}")
def cut_links(context: Any, fault: str) -> None:
    set_stream_route(context.memory)
    context.memory.links_by_name["a"].fault = fault


@given("responses to streams are lost between b and a")
def lose_streams(context: Any) -> None:
    context.memory.peers_by_name["a"].loses_streams_from = {"b"}


@given("a has noticed that")
def notice(context: Any) -> None:
    reach = context.memory.discovered_by_name["a"].reach
    reach.record_unanswered("t0", monotonic())
    assert wait_until(lambda: reach.is_isolated, NOTICE_S)


@when("after {seconds:g} s the links of a {fault:w}")
def cut_links_later(context: Any, seconds: float, fault: str) -> None:
    fleet = context.memory
    recovery = JobRecovery(
        fleet.instances_by_name["a"],
        fleet.jobs_by_name["a"],
        JobStore(fleet.store, fleet.clock),
        fleet.clock,
        120.0,
    )
    executor = ThreadPoolExecutor(1)
    executor.submit(recovery.run, fleet.stop)
    fleet.executors.append(executor)
    time.sleep(seconds)
    cut_links(context, fault)


@when(
    "{count:d} streams of {events:d} events are read at a, whose links hang "
    "after {seconds:g} s"
)
def read_while_cut(
    context: Any, count: int, events: int, seconds: float
) -> None:
    set_stream_route(context.memory)
    new_streams(context, count, events)
    timer = threading.Timer(seconds, cut_links, (context, "hang"))
    timer.start()
    read_all(context, "a", None)
    timer.join()


@when("the links of b and c hang, too, until {seconds:g} s")
def cut_all(context: Any, seconds: float) -> None:
    fleet = context.memory
    context.first_head = fleet.store.read(f"hibiscuspin/jobs/{JOB}", 0.0)
    for name in "bc":
        fleet.links_by_name[name].fault = "hang"
        reach = fleet.discovered_by_name[name].reach
        reach.record_unanswered("t0", monotonic())

    def reconnect(names: str) -> None:
        for name in names:
            fleet.links_by_name[name].fault = ""

    # Otherwise one of the others may rightly take the job as soon as it
    # reaches a target, before the holder has noticed that it does, too.
    for names, at_s in (("a", seconds), ("bc", seconds + HOLDER_LEAD_S)):
        timer = threading.Timer(at_s, reconnect, (names,))
        timer.start()
        context.add_cleanup(timer.join)
    for name in "bc":
        reach = fleet.discovered_by_name[name].reach
        assert wait_until(lambda r=reach: r.is_doubtful, NOTICE_S), name  # type: ignore[misc]


@then("its head was replaced while nobody took it")
def check_fenced(context: Any) -> None:
    stored = context.memory.store.read(f"hibiscuspin/jobs/{JOB}", 0.0)
    assert b'"holder":"a"' in stored.value, stored.value
    replaced = [
        key
        for key in context.memory.store.committed_keys
        if key == f"hibiscuspin/jobs/{JOB}"
    ]
    # Created, replaced at least once, and done.
    assert len(replaced) >= 3, replaced


@then("another instance than a held the job at the end")
def check_held_elsewhere(context: Any) -> None:
    stored = context.memory.store.read(f"hibiscuspin/jobs/{JOB}", 0.0)
    assert b'"holder":"a"' not in stored.value, stored.value


@given('an instance of "{own}" that knows "{others}"')
def set_peers(context: Any, own: str, others: str) -> None:
    fields = [text.split(":") for text in others.split()]
    members = {
        name: LiveInstance(name, "1", f"{name}/1", data_centre)
        for name, data_centre in fields
    }
    member = LiveInstance("own", "1", "own/1", own)
    instances: Any = MemoryInstances(member, members, {})
    context.peer_targets = PeerTargets(
        instances,
        lambda other: mock.Mock(),
        {"dc-a": "r", "dc-b": "r", "dc-c": "other"},
        SystemClock(),
    )
    # Creates their targets.
    assert context.peer_targets.choose(()) is not None


def peers_of(context: Any, names: str) -> list[DiscoveredTarget]:
    by_member = context.peer_targets._target_by_member
    return [by_member[m] for m in by_member if m.name in names.split()]


@given("{names} have all the requests that they may get")
def fill_peers(context: Any, names: str) -> None:
    for target in peers_of(context, names):
        target.in_flight = MAX_REQUESTS_PER_PEER


@given("{names} have just refused one")
def rest_peers(context: Any, names: str) -> None:
    for target in peers_of(context, names):
        target.backoff_until = monotonic() + NOTICE_S


@when("a request that {names} have had is to go through another instance")
def choose_peer(context: Any, names: str) -> None:
    tried = [target.name for target in peers_of(context, names)]
    context.chosen_peer = context.peer_targets.choose(tried)


@then("it goes through {names}")
def check_peer(context: Any, names: str) -> None:
    chosen = context.chosen_peer
    if names == "nobody":
        assert chosen is None, chosen.name
        return
    assert chosen.name.removeprefix("instance ") in names.split(" or "), (
        chosen.name
    )


@given('{known:d} known targets, and the history "{history}"')
def set_reach(context: Any, known: int, history: str) -> None:
    reach, now = Reach(), 0.0
    for word in history.split():
        now += STEP_S
        if word == "wait":
            now += ISOLATION_S
        elif word in ("ok", "new"):
            reach = after_answer(reach, now, new_connection=word == "new")
        else:
            reach = after_unanswered(reach, word, known, now)
    context.reach, context.now = reach, now


@then("the links are {links}")
def check_links(context: Any, links: str) -> None:
    if is_isolated(context.reach, context.now):
        found = "isolated"
    else:
        found = "doubtful" if is_doubtful(context.reach) else "sound"
    assert found == links, (found, context.reach)
