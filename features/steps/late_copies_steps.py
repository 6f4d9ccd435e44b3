"""Steps on targets that send a response a second time, late."""

import contextlib
import functools
import re
import socket
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.platform_fakes import SERVICE
from features.steps.http_client_steps import RawServer, no_check
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    ProxiedRequest,
    TargetRecord,
    WeightOrder,
)
from hibiscuspin.platform.engines import EngineClient

CALL_TIMEOUT_S = 2.0
REQUEST_ID = re.compile(rb"X-Request-Id: (\S+)")


class CopyingServer(RawServer):
    """Sends the first response of a connection again, before the second.

    Attributes:
        connection_by_request: The connection on which each request came last.
        connections_used: The connection of each request, in their order.
    """

    def __init__(self, response: bytes) -> None:
        self.connection_by_request: dict[str, int] = {}
        self.connections_used: list[int] = []
        super().__init__(response, True)

    def _serve(self, connection: socket.socket) -> None:
        number = self.connections
        first = b""
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65536):
                found = REQUEST_ID.search(data)
                if found is None:
                    # A request's body may arrive apart from its head.
                    if b"/hibiscuspin/" in data:
                        connection.sendall(first)
                    continue
                self.connection_by_request[found[1].decode()] = number
                self.connections_used.append(number)
                # The response to a later request follows the copy, if at all.
                first = first or (
                    b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n"
                ) % (self.response, found[1])
                connection.sendall(first)


@given('a target that sends its response "{text}" again, late')
def start_server(context: Any, text: str) -> None:
    response = text.encode().decode("unicode_escape").encode()
    server = context.server = CopyingServer(response)
    context.add_cleanup(server.listener.close)
    record = TargetRecord(
        "t", 1, SERVICE, server.address, "dc", 4, False, {"m": 1}
    )
    context.reports = []
    context.client = EngineClient(
        record,
        SystemClock(),
        on_draining=lambda: context.reports.append("draining"),
        on_limit=lambda rate_per_s, sent_at: context.reports.append(rate_per_s),
    )


def send(context: Any, kind: str, name: str) -> TargetError:
    request = ProxiedRequest(name, "POST", "/x", {}, b"b")
    deadline = monotonic() + CALL_TIMEOUT_S
    try:
        if kind == "call":
            context.client.send(request, deadline, no_check)
        else:
            limits = WaitLimits(deadline, CALL_TIMEOUT_S, no_check)
            context.client.open_stream(request, 0, limits)
    except TargetError as error:
        return error
    raise AssertionError(f"{name} was answered with success")


@when("it gets a {kind} that it rejects, and another one")
def send_two(context: Any, kind: str) -> None:
    assert send(context, kind, "first").refused
    context.reports.clear()
    context.error = send(context, kind, "second")
    context.reports_of_copy = list(context.reports)
    send(context, kind, "third")


@when("it gets the same {kind} {count:d} times")
def send_again(context: Any, kind: str, count: int) -> None:
    request = ProxiedRequest("first", "POST", "/x", {}, b"b")
    for _ in range(count):
        if kind == "call":
            deadline = monotonic() + CALL_TIMEOUT_S
            assert context.client.send(request, deadline, no_check).status
        else:
            assert send(context, kind, "first").status


@then("each of them came on a connection of its own")
def check_own_connections(context: Any) -> None:
    used = context.server.connections_used
    assert len(set(used)) == len(used), used


@when("it gets a call that it rejects, and a state report")
def send_and_read_state(context: Any) -> None:
    call_after_rejection(context, context.client.fetch_state)


@when("it gets a call that it rejects, and an order")
def send_and_order(context: Any) -> None:
    order = WeightOrder("m", 2, False, "a", 1, 0)
    call_after_rejection(
        context, functools.partial(context.client.send_order, order)
    )


def call_after_rejection(context: Any, call: Callable[[float], object]) -> None:
    assert send(context, "call", "first").refused
    try:
        outcome = call(monotonic() + CALL_TIMEOUT_S)
    except TargetError as error:
        context.error = error
        return
    raise AssertionError(f"a copy was taken for {outcome}")


@then("the other one counts as one that may have run")
def check_unknown(context: Any) -> None:
    error = context.error
    assert error.sent and not (error.refused or error.draining), error


@then("the copy reports neither a limit nor that the target is draining")
def check_reports(context: Any) -> None:
    assert not context.reports_of_copy, context.reports_of_copy


@then("the connection with the copy is not used again")
def check_connections(context: Any) -> None:
    connections = context.server.connection_by_request
    assert connections["first"] == connections["second"], connections
    assert connections["third"] != connections["second"], connections


@then("it came to its target on a connection of its own")
def check_fresh(context: Any) -> None:
    targets = context.target_by_name.values()
    fresh = [
        is_fresh
        for target in targets
        for is_fresh in target.is_fresh_by_stream.values()
    ]
    assert fresh == [True], fresh
