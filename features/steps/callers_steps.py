"""Steps for the interface of callers."""

import json
from typing import Any

from behave import then, when

from hibiscuspin.clock import monotonic


@when(
    'a caller sends {method} {path} with token "{token}", '
    'header "{header}" and body {body}'
)
def send_with_header(
    context: Any, method: str, path: str, token: str, header: str, body: str
) -> None:
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if header:
        name, _, value = header.partition("=")
        headers[name] = value
    client = context.fleet.instances[0].caller
    context.answer = client.request(
        method, path, monotonic() + 10, body=body.encode(), headers=headers
    )


@when(
    'a caller sends {method} {path} with token "{token}", '
    'header "" and body {body}'
)
def send_without_header(
    context: Any, method: str, path: str, token: str, body: str
) -> None:
    send_with_header(context, method, path, token, "", body)


@when('a caller sends {method} {path} with token "", header "" and body {body}')
def send_anonymous(context: Any, method: str, path: str, body: str) -> None:
    send_with_header(context, method, path, "", "", body)


@then('the answer is {status:d} with code "{code}" and ran "{ran}"')
def check_error(context: Any, status: int, code: str, ran: str) -> None:
    error = json.loads(context.answer.body)["error"]
    actual = (context.answer.status, error["code"], error["ran"])
    assert actual == (status, code, ran), actual
