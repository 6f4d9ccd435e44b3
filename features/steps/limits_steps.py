"""Steps for input limits: slow or silent senders and empty secrets."""

import contextlib
import io
import json
import pathlib
import socket
import tempfile
import threading
from typing import Any
from unittest import mock

from behave import given, then, when

from bench.fleet import free_address, wait_for
from hibiscuspin.clock import monotonic
from hibiscuspin.daemon import Daemon
from hibiscuspin.edges.channel import Channel
from hibiscuspin.edges.wsgi import WsgiApp
from hibiscuspin.settings import Settings
from hibiscuspin.tasks import http_server
from hibiscuspin.tasks.http_server import HttpServer


def _start_server(context: Any) -> None:
    context.address = free_address()
    server = HttpServer("test", WsgiApp(()), context.address, 2)
    stop = threading.Event()
    thread = threading.Thread(target=server.run, args=(stop,))
    thread.start()

    def stop_server() -> None:
        stop.set()
        thread.join()

    context.add_cleanup(stop_server)
    wait_for(
        lambda: _is_listening(context.address), 10, "the start of the server"
    )


def _is_listening(address: Any) -> bool:
    try:
        with socket.create_connection(address, timeout=1):
            return True
    except OSError:
        return False


def _patch(context: Any, target: Any, **values: Any) -> None:
    for name, value in values.items():
        patch = mock.patch.object(target, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@given("a server that waits {seconds:g} s for a whole request")
def serve_with_receive_timeout(context: Any, seconds: float) -> None:
    _patch(context, Channel, receive_timeout_s=seconds)
    _start_server(context)


@given("a server that closes silent connections after {seconds:d} s")
def serve_with_idle_timeout(context: Any, seconds: int) -> None:
    _patch(
        context,
        http_server,
        CHANNEL_TIMEOUT_S=seconds,
        CLEANUP_PERIOD_S=seconds,
    )
    _start_server(context)


@when('a client sends "{start}" and then a byte every {period:g} s')
def send_slowly(context: Any, start: str, period: float) -> None:
    context.started = monotonic()
    connection = socket.create_connection(context.address, timeout=period)
    with connection:
        connection.sendall(start.replace("\\r\\n", "\r\n").encode())
        context.raw_response = b""
        while monotonic() - context.started < 10:
            with contextlib.suppress(TimeoutError):
                chunk = connection.recv(65536)
                context.raw_response += chunk
                if not chunk or context.raw_response.endswith(b"}}"):
                    return
            connection.sendall(b"x")


@then(
    'it is refused within {most:d} s with status {status:d} and code "{code}"'
)
def check_refused(context: Any, most: int, status: int, code: str) -> None:
    head, _, body = context.raw_response.partition(b"\r\n\r\n")
    actual = int(head.split()[1]), json.loads(body)["error"]["code"]
    assert actual == (status, code), actual
    assert monotonic() - context.started < most


@when('a client sends "{start}" and then nothing')
def send_and_stop(context: Any, start: str) -> None:
    context.connection = socket.create_connection(context.address, timeout=10)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(start.replace("\\r\\n", "\r\n").encode())


@then("its connection is closed within {most:d} s")
def check_closed(context: Any, most: int) -> None:
    context.connection.settimeout(most)
    assert context.connection.recv(1) == b""


@when("a daemon is built with an empty {secret:S} file")
def build_with_empty_secret(context: Any, secret: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        flags = ["--instance", "a", "--data-centre", "b"]
        for name in ("admin-token", "peer-secret"):
            path = pathlib.Path(folder) / name
            path.write_text(" \n" if name == secret else "secret")
            flags += [f"--{name}-file", str(path)]
        for name in ("store", "instance-list"):
            flags += [f"--{name}-address", "127.0.0.1:1"]
        errors = io.StringIO()
        context.exit_code = None
        try:
            with contextlib.redirect_stderr(errors):
                Daemon.from_settings(Settings.from_args(flags, {}))
        except SystemExit as exit_:
            context.exit_code = exit_.code
        context.errors = errors.getvalue()


@then("it exits with code {code:d} and names the flag of {secret:S}")
def check_exit(context: Any, code: int, secret: str) -> None:
    assert context.exit_code == code, context.exit_code
    assert f"--{secret}-file" in context.errors, context.errors
