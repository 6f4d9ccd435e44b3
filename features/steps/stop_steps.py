"""Steps for the planned stop of an instance."""

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
    count_runs,
    find_instance,
    send_offer,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient

COMPLETIONS = "/v1/completions"
QUOTES = "/v1/services/cotizador/quotes"
STREAM_END = b"data: [DONE]\n\n"
CALL_TIMEOUT_S = 20.0
SEND_PAUSE_S = 0.01


def start_callers(
    context: Any,
    count: int,
    send: Callable[[HttpClient], bool],
    new_connection_each: bool,
) -> None:
    """Starts callers that send requests until a connection is refused."""
    if not hasattr(context, "stop_results"):
        context.stop_results = Counter()
        context.stop_threads = []
    address = find_instance(context.fleet, "cba-a-1").addresses_by_flag[
        "caller"
    ]

    def send_until_refused() -> None:
        client = HttpClient(address)
        while True:
            try:
                complete = send(
                    HttpClient(address) if new_connection_each else client
                )
                context.stop_results["answered" if complete else "broken"] += 1
            except TargetError as error:
                if not error.sent:
                    return
                context.stop_results["cut"] += 1
            time.sleep(SEND_PAUSE_S)

    for _ in range(count):
        thread = threading.Thread(target=send_until_refused, daemon=True)
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
    response = request(
        client,
        "POST",
        COMPLETIONS,
        body,
        token=TOKEN,
        timeout_s=CALL_TIMEOUT_S,
    )
    return response.status == 200 and response.body.endswith(STREAM_END)


@given("{count:d} callers that go on sending over kept connections")
def start_keep_alive_callers(context: Any, count: int) -> None:
    start_callers(context, count, send_quote, new_connection_each=False)


@given("{count:d} callers that read streams of 200 tokens one after another")
def start_stream_readers(context: Any, count: int) -> None:
    start_callers(context, count, read_stream, new_connection_each=False)


@given("{count:d} callers that open a new connection for each request")
def start_reconnecting_callers(context: Any, count: int) -> None:
    start_callers(context, count, send_quote, new_connection_each=True)


@when('"{name}" is stopped as planned after {seconds:g} s')
def stop_instance(context: Any, name: str, seconds: float) -> None:
    time.sleep(seconds)
    started = monotonic()
    process = find_instance(context.fleet, name).process
    context.exit_code = process.stop()
    context.stop_duration_s = monotonic() - started


@then("it ends with exit code {code:d} within {seconds:d} s")
def check_exit(context: Any, code: int, seconds: int) -> None:
    assert context.exit_code == code, context.exit_code
    assert context.stop_duration_s < seconds, context.stop_duration_s


@then("no request was cut or refused, and {least:d} or more were answered")
def check_no_failures(context: Any, least: int) -> None:
    for thread in context.stop_threads:
        thread.join(CALL_TIMEOUT_S)
        assert not thread.is_alive()
    results = context.stop_results
    assert set(results) == {"answered"}, results
    assert results["answered"] >= least, results


@when('offer "{offer}" is under way through "{name}" as it is stopped')
def stop_during_call(context: Any, offer: str, name: str) -> None:
    responses: list[Any] = []
    fleet = context.fleet
    thread = threading.Thread(
        target=lambda: responses.append(send_offer(fleet, name, offer, offer))
    )
    thread.start()
    time.sleep(0.5)
    context.exit_code = find_instance(fleet, name).process.stop()
    thread.join()
    context.stop_responses = responses


@then('offer "{offer}" is answered and its outcome is in the store')
def check_stored_outcome(context: Any, offer: str) -> None:
    assert context.exit_code == 0
    [response] = context.stop_responses
    assert response.status == 200, response
    for name in ("cba-a-1", "cba-b-1"):
        context.fleet.daemon(name, name.removesuffix("-1"))
    context.fleet.wait_started()
    context.fleet.wait_configured(1)
    replayed = send_offer(context.fleet, "cba-a-1", offer, offer)
    assert replayed.status == 200, replayed
    assert json.loads(replayed.body) == json.loads(response.body)
    assert count_runs(context.fleet, offer) == 1
