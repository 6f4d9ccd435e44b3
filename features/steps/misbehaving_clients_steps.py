"""Steps on clients that send too much, stop short or don't read.

Only outcomes that don't depend on the machine's speed are checked: whether the
process lives, its memory and descriptors, and that a later call is answered.
"""

import http.client
import itertools
import json
import tempfile
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.crowd import Crowd, Parts, ProcessWatch, wait_until
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient, HttpResponse
from standins.platform_fleet import CALLS_PREFIX, HOST, MODEL, PlatformFleet

INSTANCE = "edge-0"
KB = 1 << 10
MB = 1 << 20
# A call takes this long at its target, so that all of the crowd's are open.
TARGET_S = 2.0
EVENT_S = 0.01
# Longer than a test, so that no outcome depends on it.
TIMEOUT_MS = 600_000
SLOTS = 200
PART_BYTES = 16 * 1024
LARGE_CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 32
RESET_BODY_BYTES = 4 * KB
ANSWER_TRIES = 15
ANSWER_TIMEOUT_S = 10.0
ANSWER_PAUSE_S = 0.5
BODY_TIMEOUT_S = 120.0


def fleet(context: Any) -> PlatformFleet:
    platform: PlatformFleet = context.crowd_platform
    return platform


@given(
    "an instance with {memory:d} MB and {descriptors:d} descriptors that takes "
    "bodies of {body:d} MB"
)
def start(context: Any, memory: int, descriptors: int, body: int) -> None:
    context.memory_bytes = memory * MB
    context.max_descriptors = descriptors
    context.body_bytes = body * MB
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    manager = PlatformFleet.running(
        folder.name,
        instances=1,
        request_limits={
            "max_body_bytes": body * MB,
            "header_timeout_ms": TIMEOUT_MS,
            "idle_timeout_ms": TIMEOUT_MS,
        },
        machine_limits={"memory_mb": memory, "max_fds": descriptors},
        slots=SLOTS,
    )
    context.crowd_platform = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    instance = fleet(context).instance_by_name[INSTANCE]
    context.process = instance.process
    context.address = fleet(context).caller_address(INSTANCE)
    context.watch = ProcessWatch(instance.process.pid, context.address.port)
    context.add_cleanup(context.watch.stop)
    context.before = context.watch.current()


@given("targets that take long")
def slow_targets(context: Any) -> None:
    for name in fleet(context).target_names():
        if name.startswith("p-"):
            slow = {"slow": TARGET_S / EVENT_S}
            fleet(context).set_faults(name, extra=slow)


def head(number: int, *lines: str, path: str = f"{CALLS_PREFIX}x") -> bytes:
    rows = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: crowd-{number}",
        "X-Deadline-Ms: 8000",
        *lines,
    )
    return "\r\n".join((*rows, "", "")).encode()


def sized_body(context: Any, short_bytes: int, part_bytes: int) -> Any:
    size = context.body_bytes - 1
    body = memoryview(bytes(size))[: size - short_bytes]

    def parts_of(number: int) -> Parts:
        yield head(number, f"Content-Length: {size}")
        for at in range(0, len(body), part_bytes):
            yield body[at : at + part_bytes]

    return parts_of


def chunked_body(context: Any, chunk_bytes: int) -> Any:
    """Returns chunks of nearly the largest body, without the last one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    at_once = max(1, LARGE_CHUNK_BYTES // len(chunk))
    chunks = chunk * at_once
    # The framing counts as part of the body here.
    rounds = (context.body_bytes - LARGE_CHUNK_BYTES) // len(chunks)

    def parts_of(number: int) -> Parts:
        yield head(number, "Transfer-Encoding: chunked")
        yield from itertools.repeat(chunks, rounds)

    return parts_of


def endless(context: Any, prefix: bytes) -> Any:
    """Returns a chunked body that goes on with a line that does not end."""
    filler = b"x" * PART_BYTES

    def parts_of(number: int) -> Parts:
        yield head(number, "Transfer-Encoding: chunked") + prefix
        yield from itertools.repeat(
            filler, (context.body_bytes - LARGE_CHUNK_BYTES) // PART_BYTES
        )

    return parts_of


def many_headers(context: Any) -> Any:
    lines = [f"{number:x}:" for number in range(0x1000, 0x1000 + 2200)]

    def parts_of(number: int) -> Parts:
        yield head(number, *lines, "Content-Length: 2")
        yield b"x"

    return parts_of


def pipelined(context: Any) -> Any:
    follower = b"GET / HTTP/1.1\r\n\r\n"

    def parts_of(number: int) -> Parts:
        yield head(number, "Content-Length: 0")
        yield follower * (PART_BYTES // len(follower))

    return parts_of


def long_answers(context: Any) -> Any:
    fill = f"X-Answer-Bytes: {context.body_bytes}"

    def parts_of(number: int) -> Parts:
        yield head(number, fill, "Content-Length: 0")

    return parts_of


def short_answers(context: Any) -> Any:
    fill = f"X-Answer-Bytes: {370 * KB}"

    def parts_of(number: int) -> Parts:
        yield head(number, fill, "Content-Length: 0") + b"malformed\r\n\r\n"

    return parts_of


def long_streams(context: Any) -> Any:
    rows = (
        f"X-Model: {MODEL}",
        "X-Token-Count: 9,40",
        f"X-Answer-Bytes: {context.body_bytes // 20}",
        "Content-Length: 0",
    )

    def parts_of(number: int) -> Parts:
        yield head(number, *rows, path="/streams/x")

    return parts_of


def nothing(context: Any) -> Any:
    return lambda number: iter(())


def costly_job(context: Any) -> Any:
    """Returns a job whose body decodes into far more memory than it has."""
    start, value, end = b'{"items":[', b"[],", b"[]]}"
    size = context.body_bytes - 1
    count = (size - len(start) - len(end)) // len(value)
    body = start + value * count + end

    def parts_of(number: int) -> Parts:
        yield head(number, f"Content-Length: {len(body)}", path="/jobs/x")
        yield body

    return parts_of


def whole_job(context: Any) -> Any:
    """Returns a job of one item whose body is nearly the largest."""
    encoded = b"AAAA" * ((context.body_bytes - PART_BYTES) // 4)

    def parts_of(number: int) -> Parts:
        start = (
            b'{"group_count":1,"items":[{"id":"crowd-%d-0","path":"/jobs/x",'
            b'"headers":{"X-Model":"m1","X-Token-Count":"9,3"},"body":"'
        ) % number
        end = b'"}]}'
        size = len(start) + len(encoded) + len(end)
        yield head(number, f"Content-Length: {size}", path="/jobs/x")
        yield start
        yield encoded
        yield end

    return parts_of


SENDERS: dict[str, Callable[[Any], Any]] = {
    "whole bodies": lambda c: sized_body(c, 0, c.body_bytes),
    "whole bodies in parts": lambda c: sized_body(c, 0, PART_BYTES),
    "bodies that lack a byte": lambda c: sized_body(c, 1, c.body_bytes),
    "bodies in parts that lack a byte": lambda c: sized_body(c, 1, PART_BYTES),
    "large chunks without the last": lambda c: chunked_body(
        c, LARGE_CHUNK_BYTES
    ),
    "small chunks without the last": lambda c: chunked_body(
        c, SMALL_CHUNK_BYTES
    ),
    "a size line that does not end": lambda c: endless(c, b""),
    "a trailer that does not end": lambda c: endless(c, b"0\r\n"),
    "many header fields": many_headers,
    "many requests at once": pipelined,
    "calls for long answers": long_answers,
    "a call for 370 KB and a malformed request": short_answers,
    "calls for long streams": long_streams,
    "jobs that are costly to decode": costly_job,
    "whole jobs": whole_job,
    "nothing": nothing,
}


@when("{count:d} clients send {what} and keep their connections")
def send(context: Any, count: int, what: str) -> None:
    crowd = Crowd(context.address, count)
    context.add_cleanup(crowd.close)
    context.crowd = crowd
    crowd.send(SENDERS[what](context))


@when("they read slowly")
def read_slowly(context: Any) -> None:
    context.crowd.wait_for_answers()
    context.crowd.read_slowly()


@when("they read nothing")
def read_nothing(context: Any) -> None:
    context.crowd.wait_for_answers()


@then("an ordinary call is answered")
def check_answer(context: Any) -> None:
    numbers = itertools.count()

    def is_answered() -> bool:
        headers = {
            "Host": HOST,
            "X-Request-Id": f"ordinary-{next(numbers)}",
            "X-Deadline-Ms": "8000",
        }
        try:
            response = HttpClient(context.address).request(
                "POST",
                f"{CALLS_PREFIX}x",
                monotonic() + ANSWER_TIMEOUT_S,
                body=b"b",
                headers=headers,
            )
        except TargetError:
            return False
        return response.status == 200

    assert wait_until(is_answered, ANSWER_TRIES, ANSWER_PAUSE_S), (
        "no call was answered with success"
    )


@then("the instance is ready")
def check_ready(context: Any) -> None:
    instance = fleet(context).instance_by_name[INSTANCE]
    assert wait_until(
        lambda: fleet(context).is_ready(instance), ANSWER_TRIES, ANSWER_PAUSE_S
    ), "the readiness check was not answered with success"


@when("a client sends a body of {size:d} bytes with its length")
def send_sized(context: Any, size: int) -> None:
    context.response = send_body(context, bytes(size), {})


@when("a client sends a body of {size:d} bytes in chunks of {chunk:d} bytes")
def send_chunks(context: Any, size: int, chunk: int) -> None:
    framed = b"%x\r\n%s\r\n" % (chunk, bytes(chunk))
    count, rest = divmod(size, chunk)
    body = framed * count
    if rest:
        body += b"%x\r\n%s\r\n" % (rest, bytes(rest))
    headers = {"Transfer-Encoding": "chunked"}
    context.response = send_body(context, body + b"0\r\n\r\n", headers)


def send_body(
    context: Any, body: bytes, headers: dict[str, str]
) -> HttpResponse:
    """Sends a body that is framed already; returns the response."""
    connection = http.client.HTTPConnection(
        context.address.host, context.address.port, timeout=BODY_TIMEOUT_S
    )
    try:
        connection.putrequest(
            "POST",
            f"{CALLS_PREFIX}x",
            skip_host=True,
            skip_accept_encoding=True,
        )
        fields = {
            "Host": HOST,
            "X-Request-Id": "large",
            "X-Deadline-Ms": "60000",
            **(headers or {"Content-Length": str(len(body))}),
        }
        for name, value in fields.items():
            connection.putheader(name, value)
        connection.endheaders()
        connection.sock.sendall(body)
        response = connection.getresponse()
        return HttpResponse(response.status, response.headers, response.read())
    finally:
        connection.close()


@then("it gets {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.response.status == status, context.response


@then("the response names a time to retry, and that nothing ran")
def check_refusal(context: Any) -> None:
    response = context.response
    assert float(response.headers["Retry-After"]) > 0, response.headers
    error = json.loads(response.body)["error"]
    assert error["ran"] == "no", error


@then("the metrics count a connection closed for {cause:w}")
def check_metrics(context: Any, cause: str) -> None:
    row = (
        "hibiscuspin_closed_connections_total"
        f'{{cause="{cause}",listener="caller"}} 1.0'
    )
    assert row in read_metrics(context), row


def read_metrics(context: Any) -> list[str]:
    address = fleet(context).metrics_address(INSTANCE)
    response = HttpClient(address).request(
        "GET", "/metrics", monotonic() + ANSWER_TIMEOUT_S
    )
    return response.body.decode().splitlines()


@when(
    "{count:d} clients at a time send a malformed request and a body and "
    "reset, {times:d} times"
)
def send_and_reset(context: Any, count: int, times: int) -> None:
    body = bytes(RESET_BODY_BYTES)
    context.memory_before = read_memory(context)
    second = head(0, f"Content-Length: {len(body)}") + body
    for _ in range(times):
        crowd = Crowd(context.address, count)
        crowd.send(lambda number: iter((b"malformed\r\n\r\n" + second,)))
        crowd.reset()


def read_memory(context: Any) -> str:
    """Returns the memory of requests, which includes this one."""
    rows = read_metrics(context)
    return next(row for row in rows if 'bytes{kind="used"}' in row)


@then("the metrics show as much memory of requests as before")
def check_memory_returned(context: Any) -> None:
    assert wait_until(
        lambda: read_memory(context) == context.memory_before,
        ANSWER_TRIES,
        ANSWER_PAUSE_S,
    ), (context.memory_before, read_memory(context))


@when("their calls have ended and they leave")
def leave(context: Any) -> None:
    context.crowd.wait_for_answers()
    context.crowd.close()


@then(
    "the process holds at most {memory:d} MB and {descriptors:d} descriptors "
    "more than before"
)
def check_returned(context: Any, memory: int, descriptors: int) -> None:
    before = context.before

    def is_returned() -> bool:
        context.after = context.watch.current()
        return bool(
            context.after.held_bytes <= before.held_bytes + memory * MB
            and context.after.descriptors <= before.descriptors + descriptors
        )

    assert wait_until(is_returned, ANSWER_TRIES, ANSWER_PAUSE_S), (
        before,
        context.after,
    )


@then("the process lives within its memory and descriptors")
def check_bounds(context: Any) -> None:
    context.watch.stop()
    memory_mb = context.watch.peak_bytes / MB
    seen = f"{memory_mb:.0f} MB, {context.watch.peak_descriptors} descriptors"
    assert context.process.running(), f"the process has ended; {seen}"
    assert context.watch.peak_bytes <= context.memory_bytes, seen
    assert context.watch.peak_descriptors <= context.max_descriptors, seen
