"""Steps on live streams while their engine or instance fails."""

import contextlib
import http.client
import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when

from bench.fleet import wait_for
from hibiscuspin.clock import monotonic
from standins.tokens import expected_tokens

MODEL = "tasador-lm"
TOKEN = "counters-token"
READ_TIMEOUT_S = 15.0
FAULTS_BY_NAME: dict[str, dict[str, object]] = {
    "none": {},
    "mute_open": {"extra": {"mute_open": 1}},
    "mute": {"extra": {"mute": 1}},
    "silent": {"silent": True, "extra": {"mute": 1}},
    "wrong_id": {"extra": {"wrong_id": 1}},
    "cut_open": {"extra": {"cut_open": 1}},
    "refuse": {"extra": {"refuse": 1}},
}


class StreamingCaller:
    """Reads one streamed completion in a thread."""

    def __init__(self, address: Any, request_id: str, body: object) -> None:
        self.request_id = request_id
        self.text = ""
        self.tokens = 0
        self.ended = False
        self._connection = http.client.HTTPConnection(
            address.host, address.port, timeout=READ_TIMEOUT_S
        )
        self._socket: socket.socket | None = None
        self._body = json.dumps(body)
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def join(self, timeout_s: float) -> bool:
        """Waits for the end of the response; returns whether it has ended."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def hang_up(self) -> None:
        """Closes the connection."""
        assert self._socket is not None
        self._socket.shutdown(socket.SHUT_RDWR)

    def _read(self) -> None:
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "X-Request-Id": self.request_id,
            "Content-Type": "application/json",
        }
        path = "/v1/completions"
        self._connection.request("POST", path, self._body, headers)
        self._socket = self._connection.sock
        response = self._connection.getresponse()
        for line in _lines(response):
            if line.startswith(b"data: {"):
                choices = json.loads(line[6:]).get("choices", [])
                text = choices[0]["text"] if choices else ""
                self.text += text
                self.tokens += bool(text)
            self.ended = self.ended or line.startswith(b"data: [DONE]")


def _lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Yields the lines of a response until it ends or the caller hangs up."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        yield from response


def engines(context: Any) -> list[str]:
    names = context.fleet.standins_by_name
    return [name for name in names if name.startswith("tasador-")]


def records_by_engine(context: Any) -> dict[str, Any]:
    records = {}
    for name in engines(context):
        if not context.fleet.standins_by_name[name].running():
            continue
        for record in context.fleet.get(name, "/records"):
            if record["request_id"].startswith(context.stream.request_id):
                records[name] = record
    return records


@given('a streaming caller asks for {tokens:d} tokens with prompt "{prompt}"')
def start_stream(context: Any, tokens: int, prompt: str) -> None:
    seed = next(
        seed
        for seed in range(1000)
        if len(expected_tokens(prompt, seed, tokens)) == tokens
    )
    body = {
        "model": MODEL,
        "prompt": prompt,
        "seed": seed,
        "max_tokens": tokens,
        "stream": True,
    }
    context.body = body
    context.expected = "".join(expected_tokens(prompt, seed, tokens))
    address = context.fleet.instances[0].addresses_by_flag["caller"]
    request_id = "live-" + prompt.replace(" ", "-")
    context.stream = StreamingCaller(address, request_id, body)


@when('its engine has the fault "{fault}" after {tokens:d} tokens')
def break_engine(context: Any, fault: str, tokens: int) -> None:
    wait_for(lambda: context.stream.tokens >= tokens, 10, "the first tokens")
    (context.engine,) = records_by_engine(context)
    fleet = context.fleet
    if fault == "kill":
        fleet.standins_by_name[context.engine].kill()
    else:
        fleet.faults(context.engine, **FAULTS_BY_NAME[fault])


def wait_for_tokens(context: Any, tokens: int) -> None:
    wait_for(lambda: context.stream.tokens >= tokens, 10, "the first tokens")
    (context.engine,) = records_by_engine(context)


@when("two operators change the configuration at once after {tokens:d} tokens")
def race_operators(context: Any, tokens: int) -> None:
    wait_for_tokens(context, tokens)
    fleet = context.fleet
    current = fleet.admin(fleet.instances[0], "GET", "config")

    def change(instance: Any) -> int:
        body = {
            "config": current["config"],
            "seen": current["revision"],
            "author": instance.name,
        }
        try:
            response = fleet.admin(instance, "PUT", "config", body)
        except RuntimeError:
            return 0
        return int(response["revision"])

    with ThreadPoolExecutor(2) as executor:
        context.revisions = list(executor.map(change, fleet.instances))


@then("one change is in force and the other was refused")
def check_one_change(context: Any) -> None:
    refused, revision = sorted(context.revisions)
    assert not refused and revision, context.revisions
    context.fleet.wait_configured(revision)


@when("its instance is paused for {seconds:g} s after {tokens:d} tokens")
def pause_instance(context: Any, seconds: float, tokens: int) -> None:
    wait_for_tokens(context, tokens)
    process = context.fleet.instances[0].process
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)


@when("its instance is killed after {tokens:d} tokens")
def kill_instance(context: Any, tokens: int) -> None:
    wait_for_tokens(context, tokens)
    context.fleet.instances[0].process.kill()


@then("its answer breaks off and does not look whole")
def check_broken_off(context: Any) -> None:
    assert context.stream.join(5.0)
    assert not context.stream.ended
    assert context.expected.startswith(context.stream.text)


@then("the same request to another instance is answered whole")
def check_other_instance(context: Any) -> None:
    address = context.fleet.instances[1].addresses_by_flag["caller"]
    first = context.stream
    context.stream = StreamingCaller(address, first.request_id, context.body)
    assert context.stream.join(10.0)
    assert context.stream.text == context.expected


@then("the instance serves again once it is restarted")
def restart_instance(context: Any) -> None:
    fleet = context.fleet
    killed = fleet.instances[0]
    others = fleet.instances[1:]
    fleet.daemon(killed.name, killed.data_centre)
    fleet.wait_started()
    fleet.wait_configured(max(map(fleet.revision_of, others)))


@when("the caller hangs up")
def hang_up_caller(context: Any) -> None:
    context.stream.hang_up()


@then("its answer is whole and its own within {seconds:d} s")
def check_complete(context: Any, seconds: int) -> None:
    start = monotonic()
    joined = context.stream.join(seconds)
    state = (joined, context.stream.ended, context.stream.tokens)
    assert joined and context.stream.ended, state
    assert context.stream.text == context.expected, state
    context.took_s = monotonic() - start


@then("at most {attempts:d} attempts reached engines")
def check_attempts(context: Any, attempts: int) -> None:
    if context.fleet.standins_by_name[context.engine].running():
        context.fleet.faults(context.engine)
        reached = len(records_by_engine(context))
    else:
        reached = 1 + len(records_by_engine(context))
        restart_engine(context)
    assert reached <= attempts, reached


@then("its engine has cancelled the request within {seconds:d} s")
def check_cancelled(context: Any, seconds: int) -> None:
    def cancelled() -> bool:
        records = records_by_engine(context)
        return bool(records[context.engine]["state"] == "cancelled")

    wait_for(cancelled, seconds, "the cancellation")
    context.fleet.faults(context.engine)


def restart_engine(context: Any) -> None:
    flags = ["--model", MODEL, "--slots", "8", "--token-s", "0.005"]
    context.fleet.standin("engine", context.engine, *flags)
    context.fleet.wait_ready([context.engine])
