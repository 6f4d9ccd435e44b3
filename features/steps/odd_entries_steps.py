"""Steps on entries and responses that are out of every bound."""

import contextlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import msgspec
from behave import given, then, when

from bench.fleet import wait_for
from features.steps.http_client_steps import no_check
from features.steps.operator_reports_steps import DripServer, connect
from features.steps.platform_fleet_steps import fleet
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import InvalidRecordError, ProxiedRequest
from hibiscuspin.edges.transactions import (
    PutOperation,
    StoredValue,
    Transaction,
)
from hibiscuspin.platform.registrations import TARGET_PREFIX, decode_record
from hibiscuspin.tasks.job_store import HEAD_PREFIX
from standins.platform_fleet import PlatformFleet

CALLS_AT_ONCE = 40

ENTRY: dict[str, Any] = {
    "service": "app",
    "address": "127.0.0.1:7000",
    "zone": "cba-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "seq_no": 1,
    "born": 1_700_000_000_000,
}
NESTED = b"[" * 1000 + b"]" * 1000
ODD_ENTRIES = {
    "nested": NESTED,
    "nested-field": msgspec.json.encode(ENTRY)[:-1] + b',"x":%s}' % NESTED,
    "slots": msgspec.json.encode(ENTRY).replace(
        b":4,", b":1%s," % (b"0" * 400)
    ),
    "born": msgspec.json.encode({**ENTRY, "born": 2**63}),
    "port": msgspec.json.encode({**ENTRY, "address": "127.0.0.1:99999"}),
    "host": msgspec.json.encode({**ENTRY, "address": "a\u0001b:70"}),
    "bytes": b"\xff\xfe\x00",
}

ODD_BYTES = {
    "lists in lists": b"[" * 1000,
    "objects in objects": b'{"a":' * 5000,
    "no text": b"\xff\xfe",
    "empty": b"",
    "a list": b"[1]",
    "null": b"null",
    "longer than any entry": b'"%s"' % (b"x" * 70_000),
}


@given("odd entries of each sort beside the targets")
def put_entries(context: Any) -> None:
    for name, value in ODD_ENTRIES.items():
        fleet(context).put_bytes(f"{TARGET_PREFIX}odd-{name}", value)


@when('target {name} of the service "{service}" joins')
def start_target(context: Any, name: str, service: str) -> None:
    fleet(context).start_target(name, service, "")


@when("{name} is killed and started again")
def restart(context: Any, name: str) -> None:
    instance = fleet(context).instance_by_name[name]
    instance.process.send(signal.SIGKILL)
    wait_for(lambda: not instance.process.running(), 5.0, "the kill")
    fleet(context).start_instance(name)
    fleet(context).wait_ready()


def call(platform: PlatformFleet, name: str, number: int) -> None:
    with contextlib.suppress(TargetError):
        platform.call(name, "POST", "/calls/x", f"{name}-{number}")


@then("both instances send calls to {target} within {limit:g} s")
def check_used(context: Any, target: str, limit: float) -> None:
    platform = fleet(context)
    for name in ("edge-0", "edge-1"):

        def is_used(name: str = name) -> bool:
            # More at once than the other targets have slots.
            with ThreadPoolExecutor(CALLS_AT_ONCE) as executor:
                executor.map(
                    partial(call, platform, name), range(CALLS_AT_ONCE)
                )
            ids = [row.get("id", "") for row in platform.target_records(target)]
            return any(row.startswith(name) for row in ids)

        wait_for(is_used, limit, f"calls of {name} at {target}")


@then("no task of the instances has failed")
def check_tasks(context: Any) -> None:
    for instance in fleet(context).instance_by_name.values():
        log = instance.process.log_path.read_text()
        assert "Task failed" not in log, instance.name


@then("each instance has logged each odd entry once, with key and reason")
def check_logs(context: Any) -> None:
    time.sleep(1.0)
    for instance in fleet(context).instance_by_name.values():
        log = instance.process.log_path.read_text()
        # The log of an instance that is started again goes on.
        last_start = log.rpartition("Instance started.")[2]
        lines = [
            msgspec.json.decode(line[line.index("{") :])
            for line in last_start.splitlines()
            if "invalid entry in the store" in line
        ]
        logged = {row["key"] for row in lines if row["reason"]}
        expected = {f"{TARGET_PREFIX}odd-{name}" for name in ODD_ENTRIES}
        assert len(lines) == len(logged), (instance.name, lines)
        assert instance.name != "edge-0" or logged == expected, logged


def check_refused(key: str, value: bytes, reason: str) -> None:
    try:
        record = decode_record(StoredValue(key, value, 1, 1, 0))
    except InvalidRecordError as error:
        assert reason in str(error), error
    else:
        raise AssertionError(f"{record} was taken for a target")


def encode_odd(value: str) -> bytes:
    """Returns the JSON that a cell of a table stands for."""
    count = int(value.split()[3]) if value.startswith("a ") else 0
    if value.startswith("a number"):
        return b"1" * count
    if value.startswith("a text"):
        return b'"%s"' % (b"x" * count)
    return value.encode()


@then('an entry with {field:w} {value} is refused with "{reason}"')
def check_field(context: Any, field: str, value: str, reason: str) -> None:
    entry = msgspec.json.encode({**ENTRY, field: "@"})
    odd = entry.replace(b'"@"', encode_odd(value))
    check_refused(f"{TARGET_PREFIX}t", odd, reason)


@then('an entry that is {what} is refused with "{reason}"')
def check_bytes(context: Any, what: str, reason: str) -> None:
    check_refused(f"{TARGET_PREFIX}t", ODD_BYTES[what], reason)


@then('an entry under the key "{key}" is refused with "{reason}"')
def check_key(context: Any, key: str, reason: str) -> None:
    name = key.encode().decode("unicode_escape")
    check_refused(TARGET_PREFIX + name, msgspec.json.encode(ENTRY), reason)


@given('a target whose stream sends "{text}"')
def start_stream_server(context: Any, text: str) -> None:
    connect(context, DripServer(text.replace("\\n", "\n").encode(), False))


@when("an instance opens and reads the stream")
def read_stream(context: Any) -> None:
    limits = WaitLimits(monotonic() + 2.0, 1.0, no_check)
    request = ProxiedRequest("c0", "POST", "/x", {}, b"b")
    context.error = None
    try:
        context.client.open_stream(request, 0, limits).read(limits)
    except TargetError as error:
        context.error = error


@then('it fails with "{reason}"')
def check_failed(context: Any, reason: str) -> None:
    assert reason in str(context.error), context.error


@when("a head with a deeply nested field stands beside it")
def put_head(context: Any) -> None:
    put = PutOperation(HEAD_PREFIX + "other", b'{"x":%s}' % NESTED)
    context.memory.store.commit(Transaction({}, (put,)), 0.0)
