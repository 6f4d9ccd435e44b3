"""Steps on the HTTP client, against raw sockets."""

import contextlib
import itertools
import socket
import threading
import time
from typing import Any

from behave import given, then, when

from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import Address

CALL_S = 5.0
LINES = 5


def nothing() -> None:
    return


class RawServer:
    """Answers each request with fixed bytes."""

    def __init__(self, answer: bytes, stays: bool) -> None:
        self.answer = answer
        self.stays = stays
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname()[:2])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            thread = threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            )
            thread.start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                self.send(connection)
                if not self.stays:
                    return

    def send(self, connection: socket.socket) -> None:
        connection.sendall(self.answer)


class LineServer(RawServer):
    """Answers with a chunked stream of lines."""

    def send(self, connection: socket.socket) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head)
        for number in range(LINES):
            line = b"line %d\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            time.sleep(0.2)
        connection.sendall(b"0\r\n\r\n")


def serve(context: Any, server: RawServer) -> None:
    context.raw_server = server
    context.add_cleanup(server.listener.close)
    context.raw_client = HttpClient(server.address)


@given('a raw server that answers "{answer}" and {what}')
def start_server(context: Any, answer: str, what: str) -> None:
    raw = answer.encode().decode("unicode_escape").encode()
    serve(context, RawServer(raw, what == "stays"))


@given("a raw server that sends a chunked line each 0.2 s")
def start_line_server(context: Any) -> None:
    serve(context, LineServer(b"", True))


def ask(context: Any, **options: Any) -> None:
    started = monotonic()
    context.raw_error, context.raw_answer = None, None
    try:
        context.raw_answer = context.raw_client.request(
            "GET", "/", monotonic() + CALL_S, **options
        )
    except TargetError as error:
        context.raw_error = error
    context.raw_took_s = monotonic() - started


@when("the client asks it once")
def ask_once(context: Any) -> None:
    ask(context)


@when("the client asks it {count:d} times with a check")
def ask_checked(context: Any, count: int) -> None:
    context.raw_times = []
    for _ in range(count):
        ask(context, check=nothing)
        assert context.raw_answer is not None, context.raw_error
        context.raw_times.append(context.raw_took_s)


@when("the client asks it {count:d} times, {pause:g} s apart")
def ask_apart(context: Any, count: int, pause: float) -> None:
    for _ in range(count):
        ask(context)
        assert context.raw_answer is not None, context.raw_error
        time.sleep(pause)


@then("the call fails as {sent}")
def check_failure(context: Any, sent: str) -> None:
    assert context.raw_error is not None, context.raw_answer
    assert context.raw_error.sent is (sent == "sent"), context.raw_error


@then("the connect fails within {most:g} s")
def check_connect(context: Any, most: float) -> None:
    check_failure(context, "not sent")
    assert context.raw_took_s < most, context.raw_took_s


@then('the client reads "{text}"')
def check_body(context: Any, text: str) -> None:
    assert context.raw_answer is not None, context.raw_error
    assert context.raw_answer.body == text.encode()


@then("each call took less than {most:g} s")
def check_times(context: Any, most: float) -> None:
    assert max(context.raw_times) < most, context.raw_times


@then("the raw server saw {count:d} connection")
@then("the raw server saw {count:d} connections")
def check_connections(context: Any, count: int) -> None:
    assert context.raw_server.connections == count


@when("the client reads its stream")
def read_stream(context: Any) -> None:
    started = monotonic()
    stream = context.raw_client.open("GET", "/", started + CALL_S)
    context.raw_lines = []
    while lines := stream.read_lines(started + CALL_S, CALL_S, nothing):
        now = monotonic() - started
        context.raw_lines += [(line, now) for line in lines]
    stream.close()


@then("the first line came within {most:g} s")
def check_first_line(context: Any, most: float) -> None:
    assert context.raw_lines[0][1] < most, context.raw_lines


@then("{count:d} lines came one after the other")
def check_lines(context: Any, count: int) -> None:
    times = [at for _, at in context.raw_lines]
    assert len(times) == count, context.raw_lines
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert min(gaps) > 0.1, times


@when("the client connects to an address that drops packets")
def connect_silent(context: Any) -> None:
    # A full accept queue drops the opening packets of further clients.
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    context.add_cleanup(listener.close)
    address = Address(*listener.getsockname()[:2])
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect(address)
        context.add_cleanup(filler.close)
    context.raw_client = HttpClient(address)
    ask(context)


@then("the system clock follows the boot time")
def check_clock(context: Any) -> None:
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert 0 <= SystemClock().monotonic() - boot < 1.0


class MuteServer(RawServer):
    """Reads requests and sends nothing."""

    def send(self, connection: socket.socket) -> None:
        return


@given("a raw server that never answers")
def start_mute_server(context: Any) -> None:
    serve(context, MuteServer(b"", True))


@when("the client asks it with {left:g} s to live")
def ask_briefly(context: Any, left: float) -> None:
    context.raw_error = None
    try:
        context.raw_client.request("GET", "/", monotonic() + left)
    except TargetError as error:
        context.raw_error = error


@then("the silence is reported")
def check_silent(context: Any) -> None:
    assert context.raw_error is not None and context.raw_error.silent, (
        context.raw_error
    )
