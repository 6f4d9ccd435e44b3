"""Steps for targets drained by an operator, the instance list or themselves."""

import threading
import time
from collections import Counter
from typing import Any

from behave import given, then, when

from bench.fleet import client_of, request, wait_for

QUOTES = "/v1/services/cotizador/quotes"
TOKEN = "counters-token"
SEND_PAUSE_S = 0.02
RESPONSE_DELAY_S = 0.05
DRAIN_LIMIT_S = 3.0
OBSERVATION_S = 1.0


@given("{count:d} callers that send quotes through both instances")
def send_quotes(context: Any, count: int) -> None:
    replica_names = [
        n for n in context.fleet.standins_by_name if "cotizador" in n
    ]
    for name in replica_names:
        context.fleet.faults(name, delay_s=RESPONSE_DELAY_S, only="/quotes")
    context.faulty_standins = replica_names
    context.drain_results = Counter()
    context.drain_stop = threading.Event()
    context.drain_threads = [
        threading.Thread(
            target=_send_until_stopped, args=(context, number), daemon=True
        )
        for number in range(count)
    ]
    for thread in context.drain_threads:
        thread.start()


def _send_until_stopped(context: Any, number: int) -> None:
    instances = context.fleet.instances
    caller = instances[number % len(instances)].caller
    results, stop = context.drain_results, context.drain_stop
    while not stop.wait(SEND_PAUSE_S):
        response = request(caller, "POST", QUOTES, {"c": 1}, token=TOKEN)
        results[response.status] += 1


def count_requests(context: Any, target: str) -> int:
    return len(context.fleet.get(target, "/records"))


@when('"{target}" is told to leave by "{way}"')
def drain_target(context: Any, target: str, way: str) -> None:
    fleet = context.fleet
    before = count_requests(context, target)
    wait_for(
        lambda: count_requests(context, target) > before,
        10.0,
        "a request to the target",
    )
    context.leaving_target = target
    if way == "order":
        path = f"targets/{target}/drain"
        fleet.admin(fleet.instances[0], "POST", path)
    elif way == "list":
        fleet.publish_instances(leaving_targets=[target])
    else:
        client = client_of(str(fleet.addresses_by_name[target]))
        request(client, "POST", "/v1/drain", {"drain": True})


@then("it gets nothing new after 3 s, and no caller is refused")
def check_no_new_requests(context: Any) -> None:
    target = context.leaving_target
    time.sleep(DRAIN_LIMIT_S)
    before = count_requests(context, target)
    time.sleep(OBSERVATION_S)
    after = count_requests(context, target)
    context.drain_stop.set()
    for thread in context.drain_threads:
        thread.join()
    assert after == before, (before, after)
    assert set(context.drain_results) == {200}, context.drain_results


@then("both instances show it as draining")
def check_shown_as_draining(context: Any) -> None:
    fleet = context.fleet
    for instance in fleet.instances:
        views = fleet.admin(instance, "GET", "targets")["targets"]
        [view] = [v for v in views if v["name"] == context.leaving_target]
        assert view["draining"], view
    _undrain(context)


def _undrain(context: Any) -> None:
    fleet, target = context.fleet, context.leaving_target
    client = client_of(str(fleet.addresses_by_name[target]))
    request(client, "POST", "/v1/drain", {"drain": False})
    fleet.publish_instances()
    time.sleep(OBSERVATION_S + DRAIN_LIMIT_S / 2)
    for instance in fleet.instances:
        fleet.admin(instance, "POST", f"targets/{target}/undrain")
