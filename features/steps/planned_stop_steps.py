"""Steps on requests that meet a planned stop."""

import http.client
import math
import signal
import threading
import time
from typing import Any, NamedTuple

from behave import given, then, when

from features.steps.platform_fleet_steps import fleet
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.stopping import may_take
from hibiscuspin.peers.rpc import PeerUnreachableError
from hibiscuspin.settings import Address
from hibiscuspin.tasks.supervisor import Supervisor
from standins.platform_fleet import HOST, MODEL, STREAMS_PREFIX

TARGETS = ("p-0", "p-1")
ENGINES = ("e-0", "e-1", "e-2")
EVENTS = 10
EVENT_S = 0.01
CLIENT_TIMEOUT_S = 10.0
REFUSED_WITHIN_S = 0.5
GRACE_S = 8.0


class Outcome(NamedTuple):
    """How a call ended; a status of 0 stands for no complete response."""

    status: int
    body: bytes
    took_s: float


class KeptClient:
    """A client that keeps its connection for a second call."""

    def __init__(self, address: Address, number: int) -> None:
        self.request_id = f"kept-{number}"
        self.outcome: Outcome | None = None
        self.delay_s = 0.0
        self.sends_streams = False
        self._connection = http.client.HTTPConnection(
            address.host, address.port, timeout=CLIENT_TIMEOUT_S
        )

    def call(self, request_id: str) -> Outcome:
        """Sends one call and reads its response."""
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "8000",
        }
        path = "/calls/x"
        if self.sends_streams:
            path = f"{STREAMS_PREFIX}x"
            headers |= {"X-Model": MODEL, "X-Token-Count": f"9,{EVENTS}"}
        started_at = monotonic()
        try:
            self._connection.request("POST", path, b"b", headers)
            response = self._connection.getresponse()
            status, body = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status, body = 0, b""
        return Outcome(status, body, monotonic() - started_at)

    def call_after(self, delay_s: float) -> None:
        """Sends one more call."""
        self.delay_s = delay_s
        time.sleep(delay_s)
        self.outcome = self.call(self.request_id)


@given("calls take {seconds:g} s at their targets")
def slow_targets(context: Any, seconds: float) -> None:
    for name in TARGETS:
        fleet(context).set_faults(name, extra={"slow": seconds / EVENT_S})


@given("{count:d} clients have used connections to {name}")
def connect(context: Any, count: int, name: str) -> None:
    address = fleet(context)._address(name, "front")
    context.clients = [KeptClient(address, n) for n in range(count)]
    threads = [
        threading.Thread(target=client.call, args=(f"first-{number}",))
        for number, client in enumerate(context.clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when("{name} is stopped, and each client sends one more call, {gap:g} s apart")
def stop(context: Any, name: str, gap: float) -> None:
    process = fleet(context).instance_by_name[name].process
    started_at = monotonic()
    process.send(signal.SIGTERM)
    threads = [
        threading.Thread(target=client.call_after, args=(gap * (number + 1),))
        for number, client in enumerate(context.clients)
    ]
    for thread in threads:
        thread.start()
    while process.running() and monotonic() < started_at + GRACE_S:
        time.sleep(0.02)
    context.is_running = process.running()
    if context.is_running:
        process.kill()
    for thread in threads:
        thread.join()


@then("each call that reached a target has got a complete response")
def check_complete(context: Any) -> None:
    reached = {
        row["id"]
        for name in TARGETS
        for row in fleet(context).target_records(name)
        if "id" in row
    }
    cut = [
        (client.request_id, client.outcome)
        for client in context.clients
        if client.request_id in reached and not client.outcome.status
    ]
    assert not cut, cut
    context.reached = reached


@then("each refused one says so at once, as not run")
def check_refusals(context: Any) -> None:
    for client in context.clients:
        if client.outcome.status != 503:
            continue
        assert client.outcome.took_s < REFUSED_WITHIN_S, client.outcome
        assert b'"ran":"no"' in client.outcome.body, client.outcome
        assert client.request_id not in context.reached, client.request_id


@then("some of the calls were answered with success and some were refused")
def check_both(context: Any) -> None:
    statuses = [client.outcome.status for client in context.clients]
    assert 200 in statuses and 503 in statuses, statuses


@then("the process ended within 8 s by itself")
def check_ended(context: Any) -> None:
    assert not context.is_running


@then("with {left:g} s left, a limit of {limit:g} s and {seen} it is {taken}")
def check_decision(
    context: Any, left: float, limit: float, seen: str, taken: str
) -> None:
    longest_s = None if seen.startswith("no") else float(seen.split()[-2])
    assert may_take(limit, longest_s, 100.0, 100.0 + left) is (taken == "taken")


@then(
    "late, with {left:g} s left, a limit of {limit:g} s and {seen} it is "
    "{taken}"
)
def check_late_decision(
    context: Any, left: float, limit: float, seen: str, taken: str
) -> None:
    longest_s = None if seen.startswith("no") else float(seen.split()[-2])
    is_taken = may_take(limit, longest_s, 100.0, 100.0 + left, 100.0)
    assert is_taken is (taken == "taken")


@given("{name} runs")
def ensure_running(context: Any, name: str) -> None:
    if not fleet(context).instance_by_name[name].process.running():
        fleet(context).start_instance(name)
        fleet(context).wait_ready()


@given("streams take {seconds:g} s at their targets")
def set_pace(context: Any, seconds: float) -> None:
    for name in ENGINES:
        slow = seconds / EVENTS / EVENT_S
        fleet(context).set_faults(name, extra={"slow": slow})


@given("{count:d} clients have sent streams to {name}")
def connect_for_streams(context: Any, count: int, name: str) -> None:
    connect(context, count, name)
    for client in context.clients:
        client.sends_streams = True
        outcome = client.call(f"{client.request_id}-before")
        assert outcome.status == 200, outcome


@then("each stream that came {late:g} s or later has got success or is not run")
def check_late(context: Any, late: float) -> None:
    reached = {
        row["id"]
        for name in ENGINES
        for row in fleet(context).target_records(name)
        if "id" in row
    }
    late_clients = [c for c in context.clients if c.delay_s >= late]
    assert late_clients
    failed = [
        (client.delay_s, client.outcome)
        for client in late_clients
        if client.request_id in reached and client.outcome.status != 200
    ]
    assert not failed, failed


@then(
    "of requests of {work:g} s that come each {gap:g} s, none that is taken "
    "outlasts the stop"
)
def replay_stop(context: Any, work: float, gap: float) -> None:
    stop_by = GRACE_S - 1.0
    arrivals = [gap * number for number in range(int(GRACE_S / gap))]
    before = [a for a in arrivals if may_take(10.0, work, a, math.inf)]
    assert before == arrivals
    taken = [a for a in arrivals if may_take(10.0, work, a, stop_by)]
    assert taken and all(a + work <= stop_by for a in taken), taken


class SlowTask:
    """A task that takes a while to stop."""

    name = "slow"

    def __init__(self, stop_s: float) -> None:
        self._stop_s = stop_s

    def run(self, stop: threading.Event) -> None:
        """Waits for the stop."""
        stop.wait()
        time.sleep(self._stop_s)


@given("{count:d} tasks that take {seconds:g} s to stop")
def start_tasks(context: Any, count: int, seconds: float) -> None:
    tasks = [SlowTask(seconds) for _ in range(count)]
    context.supervisor = Supervisor("slow", tasks)
    context.supervisor.start()


@when("they are stopped with a deadline in {seconds:g} s")
def stop_tasks(context: Any, seconds: float) -> None:
    started_at = monotonic()
    context.supervisor.stop(started_at + seconds)
    context.took_s = monotonic() - started_at


@then("they have stopped after {low:g} to {high:g} s")
def check_stop_time(context: Any, low: float, high: float) -> None:
    assert low <= context.took_s <= high, context.took_s


@when(
    "a stops while other instances do not respond, with {seconds:g} s to hand "
    "over"
)
def hand_over(context: Any, seconds: float) -> None:
    jobs = context.memory.jobs_by_name["a"]

    def call(*args: Any, **options: Any) -> bytes:
        time.sleep(min(args[3], CLIENT_TIMEOUT_S))
        raise PeerUnreachableError("no response")

    jobs._peers.call = call
    started_at = monotonic()
    jobs.hand_over(started_at + seconds)
    context.took_s = monotonic() - started_at


@then("that took less than {limit:g} s")
def check_short(context: Any, limit: float) -> None:
    assert context.took_s < limit, context.took_s
