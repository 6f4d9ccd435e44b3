"""Steps for the trainers' and administration interfaces and raw requests."""

import json
import pathlib
import socket
from typing import Any

import parse
from behave import given, register_type, then, when

from bench.fleet import request, wait_for
from hibiscuspin.clock import monotonic

MEGABYTE = 1024 * 1024


@parse.with_pattern(r".*")
def parse_text(text: str) -> str:
    return text


register_type(Text=parse_text)


def _send(
    context: Any, kind: str, method: str, path: str, token: str, body: str
) -> None:
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    client = getattr(context.fleet.instances[0], kind)
    deadline = monotonic() + 10
    context.answer = client.request(
        method, path, deadline, body=body.encode() or None, headers=headers
    )


@when(
    'a trainer sends {method} {path} with token "{token:Text}" '
    "and body{body:Text}"
)
def send_as_trainer(
    context: Any, method: str, path: str, token: str, body: str
) -> None:
    _send(context, "trainer", method, path, token, body.strip())


@when(
    'an operator sends {method} {path} with token "{token:Text}" '
    "and body{body:Text}"
)
def send_as_operator(
    context: Any, method: str, path: str, token: str, body: str
) -> None:
    _send(context, "admin", method, path, token, body.strip())


@given("a step {number:d} with one finished sample")
def submit_one_sample(context: Any, number: int) -> None:
    client = context.fleet.instances[0].trainer
    path = f"/v1/trainers/appraiser/steps/{number}"
    prompt = {"id": "a", "prompt": "a", "samples": 1, "max_tokens": 4}
    body = {"prompts": [prompt], "final": True}

    def is_accepted() -> bool:
        response = request(
            client, "POST", f"{path}/prompts", body, token="appraisal-token"
        )
        return response.status == 202

    wait_for(is_accepted, 20, "the submission of the prompt")


@when("an operator applies the shown configuration over revision {seen:d}")
def apply_over_revision(context: Any, seen: int) -> None:
    shown = context.fleet.admin(context.fleet.instances[0], "GET", "config")
    body = {"config": shown["config"], "seen": seen, "author": "test"}
    _send(
        context,
        "admin",
        "PUT",
        "/admin/v1/config",
        "fleet-admin-token",
        json.dumps(body),
    )


RAW_REQUESTS = {
    "over-long body": b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: %d\r\n\r\n" % (5 * MEGABYTE) + b"x" * (5 * MEGABYTE),
    "over-long announced": b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: %d\r\n\r\n" % (64 * MEGABYTE),
    "over-long header": b"GET /healthz HTTP/1.1\r\nX: " + b"x" * 100_000,
    "malformed first line": b"nothing here\r\n\r\n",
}


@when("a client sends the {case} request")
def send_raw(context: Any, case: str) -> None:
    address = context.fleet.instances[0].addresses_by_flag["caller"]
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(RAW_REQUESTS[case])
        context.raw_response = _read_response(connection)


@then('the raw answer is {status:d} with code "{code}"')
def check_raw_error(context: Any, status: int, code: str) -> None:
    head, _, body = context.raw_response.partition(b"\r\n\r\n")
    error = json.loads(body)["error"]
    actual = (int(head.split()[1]), error["code"], error["ran"])
    assert actual == (status, code, "no"), actual


def _read_response(connection: socket.socket) -> bytes:
    response = b""
    while not response.endswith(b"}}"):
        chunk = connection.recv(65536)
        if not chunk:
            break
        response += chunk
    return response


@then('the answer has finish reason "{reason}" and {count:d} completion tokens')
def check_finish_reason(context: Any, reason: str, count: int) -> None:
    response = json.loads(context.answer.body)
    assert response["choices"][0]["finish_reason"] == reason, response
    assert response["usage"]["completion_tokens"] == count, response


@then(
    'the stream holds {parts:d} parts, a finish reason "{reason}", '
    "{count:d} completion tokens and the end marker"
)
def check_stream(context: Any, parts: int, reason: str, count: int) -> None:
    lines = context.answer.body.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""], lines[-3:]
    events = [json.loads(line[len("data: ") :]) for line in lines[:-2]]
    reasons = [e["choices"][0]["finish_reason"] for e in events[:-1]]
    assert reasons == [None] * parts + [reason], reasons
    assert events[-1]["usage"]["completion_tokens"] == count, events[-1]
    assert events[-1]["choices"] == [], events[-1]


@then("no instance shows any of these in its log or arguments")
def check_secrets(context: Any) -> None:
    for instance in context.fleet.instances:
        process = instance.process
        arguments = pathlib.Path(f"/proc/{process.pid}/cmdline").read_text()
        log = process.log_path.read_text()
        assert "Instance started" in log, log
        for row in context.table:
            assert row["text"] not in arguments + log, row["text"]
