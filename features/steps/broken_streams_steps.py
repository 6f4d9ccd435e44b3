"""Steps on streams that break off, and on what the next engine answers."""

import contextlib
import re
import socket
import struct
import threading
import time
from typing import Any, NamedTuple

from behave import given, then, when

from features.platform_fakes import MODEL, SERVICE, lone_streams
from features.steps.http_client_steps import RawServer
from features.steps.platform_calls_steps import LONG_AGO_S, forwarded_call
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.decisions.samples import SampleEvent
from hibiscuspin.decisions.saved_samples import SavedSample
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.errors import HibiscusError
from hibiscuspin.platform.engines import EngineClient
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.job_store import JobItem
from hibiscuspin.tasks.sample_runs import RunLimits, Sample, SampleRun

ENGINES = 3
SERVED_S = 5.0
REQUEST_ID = re.compile(rb"X-Request-Id: (\S+)")
LENGTH = re.compile(rb"Content-Length: (\d+)")
STREAM_HEAD = "200 OK\r\nT: text/event-stream"
STATE = (
    b'{"models":[],"busy":false,"seq_no":0,"running":0,"waiting":0,"born":1}'
)
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
    len(STATE),
    STATE,
)
LINGER_NONE = struct.pack("ii", 1, 0)


def events_to(last: int) -> bytes:
    """Returns the events 1 to `last`, with the letters from a on as data."""
    numbers = range(1, last + 1)
    return b"".join(b"id: %d\ndata: %c\n\n" % (n, 96 + n) for n in numbers)


class Answer(NamedTuple):
    """A response, with how its connection goes on."""

    head: str
    body: bytes
    end: str

    def encode(self, request_id: str) -> bytes:
        """Returns the bytes of the response to a request."""
        head = f"HTTP/1.1 {self.head}".replace("\r\nT: ", "\r\nContent-Type: ")
        for name, value in (
            ("X-Request-Id", request_id),
            ("X-Server-Stamp", "s"),
            ("X-Weight-Versions", "1"),
        ):
            if f"\r\n{name}: " not in head:
                head += f"\r\n{name}: {value}"
        head = head.replace("\r\nX-Server-Stamp: none", "")
        body = self.body
        if "Content-Length" not in head:
            head += "\r\nTransfer-Encoding: chunked"
            body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            if self.end == "the end":
                body += b"0\r\n\r\n"
        head = head.replace("\r\nContent-Length: none", "")
        return f"{head}\r\n\r\n".encode() + body


class Script:
    """The answers of all engines of a test, in the order of requests."""

    def __init__(self, answers: list[Answer]) -> None:
        self._lock = threading.Lock()
        self._answers = answers

    def next(self) -> Answer:
        """Returns the next answer; the last one again and again."""
        with self._lock:
            if len(self._answers) > 1:
                return self._answers.pop(0)
            return self._answers[0]


class ScriptedServer(RawServer):
    """Answers each request with the next answer of the script."""

    def __init__(self, script: Script) -> None:
        self._script = script
        super().__init__(b"", True)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while request := self._read_request(connection):
                if request.startswith(b"GET /hibiscuspin/report"):
                    connection.sendall(REPORT)
                    continue
                found = REQUEST_ID.search(request)
                assert found is not None
                answer = self._script.next()
                connection.sendall(answer.encode(found[1].decode()))
                if answer.end == "the end":
                    continue
                # What was sent must arrive before the end.
                time.sleep(0.1)
                if answer.end == "a reset":
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                    )
                return

    def _read_request(self, connection: socket.socket) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                return b""
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        found = LENGTH.search(head)
        length = int(found[1]) if found else 0
        while len(body) < length:
            body += connection.recv(65536)
        return head


def answer(head: str, body: str, end: str) -> Answer:
    return Answer(
        head.encode().decode("unicode_escape"),
        body.encode().decode("unicode_escape").encode(),
        end,
    )


def start_engines(context: Any, answers: list[Answer]) -> None:
    script = Script(answers)
    records = []
    for number in range(ENGINES):
        server = ScriptedServer(script)
        context.add_cleanup(server.listener.close)
        records.append(
            TargetRecord(
                f"e{number}",
                1,
                SERVICE,
                server.address,
                "dc",
                8,
                False,
                {MODEL: 1},
                "v1",
            )
        )
    clock = SystemClock()
    context.targets = DiscoveredTargets(
        "dc",
        {"dc": "r"},
        clock,
        lambda record, on_draining, on_limit: EngineClient(
            record, clock, on_draining, on_limit
        ),
    )
    context.targets.replace(records, LONG_AGO_S)
    context.request_count = 0


@given("engines of which the first one breaks off after 3 events")
def set_first(context: Any) -> None:
    context.first = Answer(STREAM_HEAD, events_to(3), "a reset")


@given('the others answer with "{head}", "{body}" and {end}')
@given('the others answer with "{head}", "" and {end}')
def start_others(context: Any, head: str, end: str, body: str = "") -> None:
    start_engines(context, [context.first, answer(head, body, end)])


@given('engines that answer with "{head}", "{body}" and {end}')
@given('engines that answer with "{head}", "" and {end}')
def start_all(context: Any, head: str, end: str, body: str = "") -> None:
    start_engines(context, [answer(head, body, end)])


@when("a caller reads a stream that may be resumed")
def read(context: Any) -> None:
    streams = lone_streams(context.targets)
    forwarded = forwarded_call(context, CallKind.STREAM, body=b"b")
    context.received, context.outcome = b"", "complete"
    try:
        _, parts = streams.open(forwarded)
        for part in parts:
            context.received += part
    except HibiscusError:
        context.outcome = "refused"
    except TargetError:
        context.outcome = "cut"


@then("it has got events 1 to {last:d}")
def check_events(context: Any, last: int) -> None:
    assert context.received == events_to(last), context.received


@then("its stream is {outcome}")
def check_outcome(context: Any, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@then("it is refused, or its stream is cut, and it has got no text of it")
def check_nothing(context: Any) -> None:
    assert context.outcome in ("refused", "cut"), context.outcome
    assert not context.received, context.received


@when("a sample with events 1 to 3 is run")
def run_sample(context: Any) -> None:
    target = context.targets.get("e0")
    assert target is not None
    item = JobItem("c0", "/c/x", {}, b"b", "g", 10.0)
    context.sample = Sample(0, item)
    events = [SampleEvent(n, str(n), 1, target.software) for n in (1, 2, 3)]
    context.sample.restore(SavedSample(events))
    now = monotonic()
    limits = RunLimits("h", MODEL, 1, False, now, now + SERVED_S, lambda: False)
    run = SampleRun(
        context.sample, target, context.targets, limits, SystemClock()
    )
    context.outcome = run.run().name


@then("the run ends as {outcome} with events 1 to {last:d}")
def check_run(context: Any, outcome: str, last: int) -> None:
    numbers = [event.number for event in context.sample.events]
    assert context.outcome == outcome, context.outcome
    assert numbers == list(range(1, last + 1)), numbers
