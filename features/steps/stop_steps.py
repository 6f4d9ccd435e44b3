"""Steps on the planned stop of an instance."""

import json
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from bench.fleet import request
from features.steps.once_steps import (
    TOKEN,
    instance_of,
    runs_of,
    send_offer,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient

COMPLETIONS = "/v1/completions"
QUOTES = "/v1/services/cotizador/quotes"
STREAM_END = b"data: [DONE]\n\n"
CALL_TIMEOUT_S = 20.0
PAUSE_S = 0.01


def start_callers(
    context: Any, count: int, send: Callable[[HttpClient], bool], fresh: bool
) -> None:
    """Starts callers that send until a connection is refused."""
    if not hasattr(context, "stop_results"):
        context.stop_results = Counter()
        context.stop_threads = []
    address = instance_of(context.fleet, "cba-a-1").addresses_by_flag["caller"]

    def run() -> None:
        client = HttpClient(address)
        while True:
            try:
                whole = send(HttpClient(address) if fresh else client)
                context.stop_results["answered" if whole else "broken"] += 1
            except TargetError as error:
                if not error.sent:
                    return
                context.stop_results["cut"] += 1
            time.sleep(PAUSE_S)

    for _ in range(count):
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        context.stop_threads.append(thread)


def send_quote(client: HttpClient) -> bool:
    body = {"console": "c"}
    return request(client, "POST", QUOTES, body, token=TOKEN).status == 200


def read_stream(client: HttpClient) -> bool:
    body = {
        "model": "tasador-lm",
        "prompt": "p",
        "max_tokens": 200,
        "stream": True,
    }
    answer = request(
        client,
        "POST",
        COMPLETIONS,
        body,
        token=TOKEN,
        timeout_s=CALL_TIMEOUT_S,
    )
    return answer.status == 200 and answer.body.endswith(STREAM_END)


@given("{count:d} callers that go on sending over kept connections")
def kept(context: Any, count: int) -> None:
    start_callers(context, count, send_quote, fresh=False)


@given("{count:d} callers that read streams of 200 tokens one after another")
def streams(context: Any, count: int) -> None:
    start_callers(context, count, read_stream, fresh=False)


@given("{count:d} callers that open a new connection for each request")
def fresh_connections(context: Any, count: int) -> None:
    start_callers(context, count, send_quote, fresh=True)


@when('"{name}" is stopped as planned after {seconds:g} s')
def stop_instance(context: Any, name: str, seconds: float) -> None:
    time.sleep(seconds)
    started = monotonic()
    process = instance_of(context.fleet, name).process
    context.exit_code = process.stop()
    context.stop_s = monotonic() - started


@then("it ends with exit code {code:d} within {seconds:d} s")
def check_exit(context: Any, code: int, seconds: int) -> None:
    assert context.exit_code == code, context.exit_code
    assert context.stop_s < seconds, context.stop_s


@then("no request was cut or refused, and {least:d} or more were answered")
def check_uncut(context: Any, least: int) -> None:
    for thread in context.stop_threads:
        thread.join(CALL_TIMEOUT_S)
        assert not thread.is_alive()
    results = context.stop_results
    assert set(results) == {"answered"}, results
    assert results["answered"] >= least, results


@when('offer "{offer}" is under way through "{name}" as it is stopped')
def stop_under_way(context: Any, offer: str, name: str) -> None:
    answers: list[Any] = []
    fleet = context.fleet
    thread = threading.Thread(
        target=lambda: answers.append(send_offer(fleet, name, offer, offer))
    )
    thread.start()
    time.sleep(0.5)
    context.exit_code = instance_of(fleet, name).process.stop()
    thread.join()
    context.stop_answers = answers


@then('offer "{offer}" is answered and its outcome is in the store')
def check_outcome(context: Any, offer: str) -> None:
    assert context.exit_code == 0
    [answer] = context.stop_answers
    assert answer.status == 200, answer
    for name in ("cba-a-1", "cba-b-1"):
        context.fleet.daemon(name, name.removesuffix("-1"))
    context.fleet.wait_started()
    context.fleet.wait_configured(1)
    again = send_offer(context.fleet, "cba-a-1", offer, offer)
    assert again.status == 200, again
    assert json.loads(again.body) == json.loads(answer.body)
    assert runs_of(context.fleet, offer) == 1
