"""Steps on clients of hibiscuspind that send too much or stop short."""

import os
from typing import Any
from unittest import mock

from behave import given, then, when

from bench.fleet import Fleet, request
from features.crowd import Crowd, Parts, ProcessWatch, wait_until
from features.steps.misbehaving_clients_steps import (
    ANSWER_PAUSE_S,
    ANSWER_TRIES,
    MB,
)
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient

MEMORY_VARIABLE = "HIBISCUSPIN_MEMORY_MB"
EMPTY_ARRAY = b"[],"


@given("a daemon with {memory:d} MB")
def start(context: Any, memory: int) -> None:
    context.memory_bytes = memory * MB
    manager = Fleet.running()
    fleet = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    fleet.platform()
    config = fleet.targets("examples/canjea")
    with mock.patch.dict(os.environ, {MEMORY_VARIABLE: str(memory)}):
        context.daemon = fleet.daemon("cba-a-1", "cba-a")
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))


def watch(context: Any, interface: str) -> Any:
    """Watches the daemon; returns the address of one of its interfaces."""
    address = context.daemon.addresses_by_flag[interface]
    context.watch = ProcessWatch(context.daemon.process.pid, address.port)
    context.add_cleanup(context.watch.stop)
    return address


def open_crowd(context: Any, interface: str, count: int) -> Crowd:
    crowd = Crowd(watch(context, interface), count)
    context.add_cleanup(crowd.close)
    return crowd


def head(size: int) -> bytes:
    rows = (
        "POST /v1/completions HTTP/1.1",
        "Host: a",
        "Authorization: Bearer counters-token",
        f"Content-Length: {size}",
    )
    return "\r\n".join((*rows, "", "")).encode()


@when(
    "{count:d} clients of the {interface:w} interface send bodies of {size:d} "
    "MB that lack a byte"
)
def send_short(context: Any, count: int, interface: str, size: int) -> None:
    body = memoryview(bytes(size * MB - 1))

    def parts_of(number: int) -> Parts:
        yield head(len(body) + 1)
        yield body

    open_crowd(context, interface, count).send(parts_of)


@when(
    "{count:d} clients of the {interface:w} interface send bodies of {size:d} "
    "MB of empty arrays"
)
def send_arrays(context: Any, count: int, interface: str, size: int) -> None:
    body = b"[" + EMPTY_ARRAY * (size * MB // len(EMPTY_ARRAY)) + b"[]]"

    def parts_of(number: int) -> Parts:
        yield head(len(body))
        yield body

    crowd = open_crowd(context, interface, count)
    crowd.send(parts_of)
    crowd.wait_for_answers()


@then("an ordinary completion is answered")
def check_completion(context: Any) -> None:
    address = context.daemon.addresses_by_flag["caller"]

    def is_answered() -> bool:
        body = {"model": "tasador-lm", "prompt": "a", "max_tokens": 2}
        try:
            response = request(
                HttpClient(address),
                "POST",
                "/v1/completions",
                body,
                token="counters-token",
            )
        except TargetError:
            return False
        return response.status == 200

    assert wait_until(is_answered, ANSWER_TRIES, ANSWER_PAUSE_S), (
        "no completion was answered with success"
    )


@then("the daemon lives within its memory and {descriptors:d} descriptors")
def check_daemon(context: Any, descriptors: int) -> None:
    context.watch.stop()
    held = context.watch.peak_bytes
    seen = f"{held / MB:.0f} MB, {context.watch.peak_descriptors} descriptors"
    assert context.daemon.process.running(), f"the daemon has ended; {seen}"
    assert held <= context.memory_bytes, seen
    assert context.watch.peak_descriptors <= descriptors, seen
