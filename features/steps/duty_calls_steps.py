"""Steps on the client of the platform's control address."""

import json
import socket
import struct
import threading
import time
from typing import Any

from behave import given, then, when
from waitress.server import create_server

from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.edges.duty_calls import (
    DutyCallError,
    DutyHolder,
    EngineCountOrder,
    EngineCountOutcome,
)
from hibiscuspin.edges.wsgi import WsgiApp
from hibiscuspin.metrics import Metrics
from hibiscuspin.platform.duty_calls import PlatformDutyCalls
from hibiscuspin.settings import Address
from standins.faults import Faults
from standins.platform_control import ControlAddress

CALL_TIMEOUT_S = 3.0
HELD_RESPONSE_S = 0.1


def put_faults(context: Any, faults: dict[str, Any]) -> None:
    with context.faults._lock:
        context.faults._faults = faults
        context.faults._change_count += 1


def stop_address(context: Any) -> None:
    # Responses that are held back end when the faults change.
    put_faults(context, {})
    time.sleep(HELD_RESPONSE_S)
    context.server.close()


@given("the platform's control address")
def start_address(context: Any) -> None:
    context.faults = Faults()
    context.control = ControlAddress(context.faults)
    app = WsgiApp(context.control.routes(), max_body_bytes=1 << 20, logger=None)
    context.server = create_server(
        context.faults.wrap(app), host="127.0.0.1", port=0, threads=4
    )
    threading.Thread(target=context.server.run, daemon=True).start()
    context.term_is_over = False
    context.metrics = Metrics()
    context.calls = PlatformDutyCalls(
        Address("127.0.0.1", context.server.effective_port),
        SystemClock(),
        context.metrics,
        lambda holder: not context.term_is_over,
    )
    context.add_cleanup(stop_address, context)


@when("the address answers with status {status:d}")
def set_status(context: Any, status: int) -> None:
    put_faults(context, {"status": status})


@when("the address has no engines")
def set_unavailable(context: Any) -> None:
    put_faults(context, {"extra": {"unavailable": 1.0}})


@when("the address loses its next response")
def lose_response(context: Any) -> None:
    put_faults(context, {"lose_answers": 1})


@when("the term ends")
def end_term(context: Any) -> None:
    context.term_is_over = True


@when(
    'holder "{name}" with number {fencing:d} reports window {window:d} with '
    '{count:d} requests of "{organisation}"'
)
def report(
    context: Any,
    name: str,
    fencing: int,
    window: int,
    count: int,
    organisation: str,
) -> None:
    context.holder = DutyHolder(name, fencing)
    context.error = None
    began_at = monotonic()
    try:
        context.calls.report_usage(
            context.holder,
            window,
            {organisation: count},
            began_at + CALL_TIMEOUT_S,
        )
    except DutyCallError as error:
        context.error = error
    context.took_s = monotonic() - began_at


@when(
    'holder "{name}" with number {fencing:d} reports window {window:d} '
    "{times:d} times in a row"
)
def report_often(
    context: Any, name: str, fencing: int, window: int, times: int
) -> None:
    context.refused = 0
    for _ in range(times):
        report(context, name, fencing, window, 2, "o")
        if context.error is not None:
            assert not context.error.is_final
            context.refused += 1


@when("it orders {first:d} engines, and then {second:d} interruptible ones")
def order_engines(context: Any, first: int, second: int) -> None:
    orders = (
        EngineCountOrder("llm", "dc", first),
        EngineCountOrder("llm", "dc", second, interruptible=True),
    )
    for order in orders:
        outcome = context.calls.set_engine_count(
            context.holder, order, monotonic() + CALL_TIMEOUT_S
        )
        assert outcome is EngineCountOutcome.ACCEPTED


@then("an order for {count:d} engines is unavailable")
def check_unavailable(context: Any, count: int) -> None:
    outcome = context.calls.set_engine_count(
        DutyHolder("a", 7),
        EngineCountOrder("llm", "dc", count),
        monotonic() + CALL_TIMEOUT_S,
    )
    assert outcome is EngineCountOutcome.UNAVAILABLE


@then("the address has received")
def check_received(context: Any) -> None:
    expected = [
        {
            "path": row["path"],
            "holder": row["holder"],
            "fencing": int(row["fencing"]),
            "body": json.loads(row["body"]),
            "status": 200,
        }
        for row in context.table
    ]
    assert context.control.received == expected, context.control.received


@then("the address has received nothing")
def check_nothing(context: Any) -> None:
    time.sleep(0.1)
    assert not context.control.received


@then("one connection was used")
def check_connection(context: Any) -> None:
    assert len(context.calls._http._idle) == 1


@then("the call fails with applied {applied} and final {final}, as {outcome:w}")
def check_error(context: Any, applied: str, final: str, outcome: str) -> None:
    error = context.error
    found = (str(error.applied), str(error.is_final))
    assert found == (applied, final), found
    sample = f'duty_calls_total{{call="usage",outcome="{outcome}"}} 1.0'
    assert sample in context.metrics.exposition().decode()


@then("it took from {least:g} s to {most:g} s")
def check_took(context: Any, least: float, most: float) -> None:
    assert least <= context.took_s <= most, context.took_s


@then(
    "the connection drops unacknowledged bytes after {after:g} s and on a close"
)
def check_socket(context: Any, after: float) -> None:
    (connection,) = context.calls._http._idle
    sock = connection.raw.sock
    timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert timeout_ms == after * 1000
    assert struct.unpack("ii", linger) == (1, 0)


@then("{accepted:d} calls were accepted and {refused:d} refused")
def check_rate(context: Any, accepted: int, refused: int) -> None:
    assert len(context.control.received) == accepted
    assert context.refused == refused
