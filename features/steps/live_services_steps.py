"""Steps on plain services with faulty replicas, and on shared request ids."""

import json
from typing import Any

from behave import given, then, when

from bench.fleet import request
from features.steps.live_streams_steps import (
    MODEL,
    TOKEN,
    StreamingCaller,
    records_by_engine,
)
from hibiscuspin.clock import monotonic
from standins.tokens import expected_tokens

FAULTS_BY_NAME: dict[str, dict[str, object]] = {
    "none": {},
    "slow": {"delay_s": 3.0, "only": "/quotes"},
    "silent": {"silent": True, "only": "/quotes"},
    "refuse": {"extra": {"refuse": 1}},
}


@given('replica "{name}" has the service fault "{fault}"')
def break_replica(context: Any, name: str, fault: str) -> None:
    if fault == "killed":
        context.fleet.standins_by_name[name].kill()
    else:
        context.fleet.faults(name, **FAULTS_BY_NAME[fault])


@when("6 quotes are asked for, one after the other")
def request_quotes(context: Any) -> None:
    context.quotes = []
    for number in range(6):
        start = monotonic()
        response = request(
            context.fleet.instances[0].caller,
            "POST",
            "/v1/services/cotizador/quotes",
            {"console": number},
            token=TOKEN,
        )
        took_s = monotonic() - start
        context.quotes.append((number, took_s, response))


@then("all 6 quotes are their caller's own, each within {seconds:g} s")
def check_quotes(context: Any, seconds: float) -> None:
    for number, took_s, response in context.quotes:
        assert response.status == 200, (response.status, response.body)
        body = json.loads(json.loads(response.body)["body"])
        assert body == {"console": number}, body
        assert took_s <= seconds, (number, took_s)


@when("two callers stream 200 tokens at once with the same X-Request-Id")
def stream_two(context: Any) -> None:
    address = context.fleet.instances[0].addresses_by_flag["caller"]
    context.streams = []
    for prompt in ("mine", "yours"):
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": 200,
            "stream": True,
        }
        expected = "".join(expected_tokens(prompt, 0, 200))
        stream = StreamingCaller(address, "same-id", body)
        context.streams.append((stream, expected))


@then("both have their own whole answer")
def check_two(context: Any) -> None:
    for stream, expected in context.streams:
        assert stream.join(10) and stream.ended
        assert stream.text == expected, stream.text


@when("a caller asks for 2000 tokens within 30 ms")
def request_too_late(context: Any) -> None:
    start = monotonic()
    context.response = request(
        context.fleet.instances[0].caller,
        "POST",
        "/v1/completions",
        {"model": MODEL, "prompt": "late", "max_tokens": 2000},
        token=TOKEN,
        headers={"X-Deadline-Ms": "30", "X-Request-Id": "late"},
    )
    context.took_s = monotonic() - start


@then('it is refused within {seconds:g} s as "{code}", to come back')
def check_refused(context: Any, seconds: float, code: str) -> None:
    error = json.loads(context.response.body)["error"]
    assert (error["code"], error["ran"]) == (code, "no"), error
    assert int(context.response.headers["Retry-After"]) >= 1
    assert context.took_s <= seconds, context.took_s


@then("no engine has run it")
def check_not_run(context: Any) -> None:
    context.stream = RequestId("late")
    assert not records_by_engine(context)


class RequestId:
    """Stands in for a `StreamingCaller` of which only the id is needed."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
