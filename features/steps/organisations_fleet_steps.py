"""Steps on the keys of organisations at instance processes."""

import contextlib
import socket
from typing import Any

from behave import given, then, when

from bench.fleet import wait_for
from features.steps.platform_fleet_steps import fleet
from hibiscuspin.clock import monotonic

PATH = "/calls/x"
# As in the requirement: from the acknowledgement of the write.
IN_FORCE_S = 4.0
SOCKET_TIMEOUT_S = 5.0
# Stands for a connection that was closed without a response.
CLOSED = 0


def status(context: Any, name: str, key: str) -> int:
    headers = {"Authorization": f"Bearer {key}", "X-Tenant": "forged"}
    return fleet(context).call(name, "POST", PATH, "org", None, headers).status


def configure(context: Any, key: str, organisation: str) -> None:
    platform = fleet(context)
    platform.tenants = [{"name": organisation, "api_keys": [key]}]
    platform.configure()


@given('the key "{key}" of "{organisation}" is in force at all instances')
def set_key(context: Any, key: str, organisation: str) -> None:
    context.organisation = organisation
    configure(context, key, organisation)
    check_keys(context, IN_FORCE_S, key, "unlisted", 401)
    # Before this time headers pass as in a deployment without organisations.
    context.in_force_at = monotonic()


@when('the key "{old}" is replaced by "{new}" while connections stay open')
def replace_key(context: Any, old: str, new: str) -> None:
    assert status(context, "edge-0", old) == 200
    configure(context, new, context.organisation)


@then(
    'within {limit:g} s "{served}" is served and "{refused}" gets {code:d} at '
    "all instances"
)
def check_keys(
    context: Any, limit: float, served: str, refused: str, code: int
) -> None:
    deadline = monotonic() + limit
    for name in fleet(context).instance_by_name:
        wait_for(
            lambda name=name: (  # type: ignore[misc]
                status(context, name, served) == 200
                and status(context, name, refused) == code
            ),
            deadline - monotonic(),
            f"{served} served and {refused} answered with {code} at {name}",
        )


@then('the engines saw only the organisation "{organisation}" and no key')
def check_records(context: Any, organisation: str) -> None:
    platform = fleet(context)
    records = [
        row
        for name in ("p-0", "p-1")
        for row in platform.target_records(name)
        if row.get("id") == "org" and row["at"] >= context.in_force_at
    ]
    seen = {(row["tenant"], row["authorization"]) for row in records}
    assert seen == {(organisation, "")}, seen


def send_raw(context: Any, name: str, lines: list[str]) -> int:
    """Sends header lines as they are; returns the status of the response."""
    address = fleet(context).instance_by_name[name].caller_client._address
    head = [
        f"POST {PATH} HTTP/1.1",
        "Host: h.example",
        "X-Request-Id: raw",
        "Content-Length: 0",
        *lines,
    ]
    # A head that is too long is not read to its end; closing the connection
    # then may discard the response.
    with (
        contextlib.suppress(ConnectionError),
        socket.create_connection(
            (address.host, address.port), SOCKET_TIMEOUT_S
        ) as connection,
    ):
        connection.sendall("\r\n".join([*head, "", ""]).encode())
        answer = connection.recv(4096)
        return int(answer.split(maxsplit=2)[1])
    return CLOSED


@when('a caller sends the header lines "{lines}" to {name}')
def send_lines(context: Any, lines: str, name: str) -> None:
    context.raw_status = send_raw(context, name, lines.split(";"))


@when("a caller sends a key of {count:d} characters to {name}")
def send_long_key(context: Any, count: int, name: str) -> None:
    line = "Authorization: Bearer " + "k" * count
    context.raw_status = send_raw(context, name, [line])


@then("the caller gets {code:d}")
def check_raw_status(context: Any, code: int) -> None:
    assert context.raw_status == code, context.raw_status


@then("the caller gets {code:d} or its connection is closed")
def check_refused(context: Any, code: int) -> None:
    assert context.raw_status in (code, CLOSED), context.raw_status


@then('the key "{key}" is served at {name}')
def check_served(context: Any, key: str, name: str) -> None:
    assert status(context, name, key) == 200


@when("a configuration that can't be read is written")
def write_malformed(context: Any) -> None:
    fleet(context).put_key("op/config", {"version": "x"})
