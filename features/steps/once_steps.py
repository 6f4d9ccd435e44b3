"""Steps for calls that may not be repeated, against real processes."""

import itertools
import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any

from behave import given, then, when

from bench.fleet import Fleet, Instance, request, wait_for
from hibiscuspin.edges import TargetError

OFFERS = ("offers-cba-a-1", "offers-cba-b-1")
OFFERS_PATH = "/v1/services/credit-offers/offers"
TOKEN = "counters-token"
SIGNAL_DELAY_S = 0.4
RESUME_WAIT_S = 0.8
RECOVERY_S = 20.0


def find_instance(fleet: Fleet, name: str) -> Instance:
    return next(i for i in fleet.instances if i.name == name)


def send_offer(fleet: Fleet, name: str, offer: str, key: str) -> Any:
    return request(
        find_instance(fleet, name).caller,
        "POST",
        OFFERS_PATH,
        {"offer": offer},
        token=TOKEN,
        headers={"Idempotency-Key": key},
        timeout_s=20.0,
    )


def count_runs(fleet: Fleet, offer: str) -> int:
    return sum(
        json.loads(record["body"])["offer"] == offer
        for name in OFFERS
        for record in fleet.get(name, "/records")
    )


def set_faults(context: Any, names: tuple[str, ...], **faults: object) -> None:
    for name in names:
        context.fleet.faults(name, **faults)
    context.faulty_standins = names


@when('a seller sends offer "{offer}" with key "{key}" through "{name}"')
def send(context: Any, offer: str, key: str, name: str) -> None:
    response = send_offer(context.fleet, name, offer, key)
    context.once_responses = [*getattr(context, "once_responses", []), response]


@when(
    'a seller sends offer "{offer}" with key "{key}" through "{name}", and '
    "repeats it as told after {code}"
)
def send_and_repeat(
    context: Any, offer: str, key: str, name: str, code: str
) -> None:
    """Sends an offer; after a refusal once more, when the refusal says."""
    send(context, offer, key, name)
    response = context.once_responses[-1]
    if response.status == HTTPStatus.OK:
        return
    assert json.loads(response.body)["error"]["code"] == code, response
    time.sleep(float(response.headers["Retry-After"]))
    send(context, offer, key, name)


@when("{count:d} keys are sent at one moment through {first} and {second}")
def send_key_pairs(context: Any, count: int, first: str, second: str) -> None:
    names = (first.strip('"'), second.strip('"'))
    with ThreadPoolExecutor(2 * count) as executor:
        for number in range(count):
            for name in names:
                executor.submit(
                    send_offer, context.fleet, name, f"p{number}", f"p{number}"
                )


@when(
    'a seller sends offer "{offer}" with key "{key}" through "{name}", '
    "which is paused for {seconds:d} s"
)
def send_paused(
    context: Any, offer: str, key: str, name: str, seconds: int
) -> None:
    process = find_instance(context.fleet, name).process
    threading.Thread(
        target=_send_ignoring_failure, args=(context.fleet, name, offer, key)
    ).start()
    time.sleep(SIGNAL_DELAY_S)
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)
    time.sleep(RESUME_WAIT_S)


@when(
    'a seller sends offer "{offer}" with key "{key}" through "{name}", '
    "which is killed"
)
def send_killed(context: Any, offer: str, key: str, name: str) -> None:
    threading.Thread(
        target=_send_ignoring_failure, args=(context.fleet, name, offer, key)
    ).start()
    time.sleep(SIGNAL_DELAY_S)
    find_instance(context.fleet, name).process.kill()


def _send_ignoring_failure(
    fleet: Fleet, name: str, offer: str, key: str
) -> None:
    try:
        send_offer(fleet, name, offer, key)
    except TargetError:
        return


@given("the store is out")
def fail_store(context: Any) -> None:
    set_faults(context, ("store",), status=500)


@given("the store loses its next {count:d} answers to writes")
def lose_store_responses(context: Any, count: int) -> None:
    set_faults(context, ("store",), lose_answers=count, only="/v1/txn")


@when("the store is back")
def heal_store(context: Any) -> None:
    fleet = context.fleet
    set_faults(context, context.faulty_standins)
    for name in ("cba-a-1", "cba-b-1"):
        keys = (f"warm-up-{name}-{number}" for number in itertools.count())
        wait_for(
            lambda name=name, keys=keys: (  # type: ignore[misc]
                send_offer(fleet, name, "warm-up", next(keys)).status == 200
            ),
            RECOVERY_S,
            f"a successful call through {name}",
        )


@when("the replicas take calls again")
def heal_replicas(context: Any) -> None:
    fleet = context.fleet
    set_faults(context, context.faulty_standins)
    for name in OFFERS:
        fleet.admin(fleet.instances[0], "POST", f"targets/{name}/undrain")
    wait_for(
        lambda: not any(_shows_drain(fleet, i) for i in fleet.instances),
        RECOVERY_S,
        "the end of the drain on all instances",
    )


def _shows_drain(fleet: Fleet, instance: Instance) -> bool:
    views = fleet.admin(instance, "GET", "targets")["targets"]
    return any(v["draining"] for v in views if v["name"] in OFFERS)


@given("the replicas lose their next answer")
def lose_replica_responses(context: Any) -> None:
    set_faults(context, OFFERS, lose_answers=1, only="/offers")


@given("the replicas refuse all calls")
def refuse_calls(context: Any) -> None:
    set_faults(context, OFFERS, extra={"refuse": 1})


@given("the replicas answer after {seconds:d} s")
def delay_responses(context: Any, seconds: int) -> None:
    set_faults(context, OFFERS, delay_s=seconds, only="/offers")


@then('both answers are the same and offer "{offer}" ran {count:d} time')
def check_replayed(context: Any, offer: str, count: int) -> None:
    first, second = context.once_responses[-2:]
    assert (first.status, first.body) == (second.status, second.body)
    assert first.status == 200, first
    assert count_runs(context.fleet, offer) == count


@then('the last answer is {status:d} with code "{code}"')
def check_last_error(context: Any, status: int, code: str) -> None:
    response = context.once_responses[-1]
    error = json.loads(response.body)["error"]
    assert (response.status, error["code"]) == (status, code), response


@then('offer "{offer}" ran {count:d} times')
@then('offer "{offer}" ran {count:d} time')
def check_runs(context: Any, offer: str, count: int) -> None:
    runs = count_runs(context.fleet, offer)
    assert runs == count, runs


@then('offer "{offer}" ran at most {count:d} time')
def check_max_runs(context: Any, offer: str, count: int) -> None:
    runs = count_runs(context.fleet, offer)
    assert runs <= count, runs


@then("each of the {total:d} offers ran {count:d} time")
def check_runs_of_pairs(context: Any, total: int, count: int) -> None:
    runs = [count_runs(context.fleet, f"p{n}") for n in range(total)]
    assert runs == [count] * total, runs
