"""Steps on the threads of a server, over sockets."""

import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when

from bench.fleet import free_address, wait_for
from hibiscuspin.tasks.http_server import HttpServer


class Gate:
    """An application whose requests wait until it is opened."""

    def __init__(self) -> None:
        self.opened = threading.Event()
        self.entered = 0
        self.threads: set[int] = set()

    def __call__(self, environ: Any, start_response: Any) -> list[bytes]:
        self.threads.add(threading.get_ident())
        self.entered += 1
        self.opened.wait(5.0)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


def ask(port: int) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/")
    status = connection.getresponse().status
    connection.close()
    return status


def listens(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 1.0).close()
    except OSError:
        return False
    return True


@given("a server with at most {most:d} threads")
def start(context: Any, most: int) -> None:
    context.gate = Gate()
    address = free_address()
    context.port = address.port
    context.most = most
    server = HttpServer("test", context.gate, address, most)
    stop = threading.Event()
    thread = threading.Thread(target=server.run, args=(stop,))
    thread.start()
    wait_for(lambda: listens(address.port), 5, "the server")
    context.server = server

    def end() -> None:
        context.gate.opened.set()
        stop.set()
        thread.join()

    context.add_cleanup(end)


@when("{count:d} requests are open at once")
def open_together(context: Any, count: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        futures = [pool.submit(ask, context.port) for _ in range(count)]
        expected = min(count, context.most)
        wait_for(lambda: context.gate.entered >= expected, 5, "the requests")
        context.gate.opened.set()
        context.statuses = [future.result() for future in futures]


@when("{count:d} requests are sent one after the other")
def ask_in_turn(context: Any, count: int) -> None:
    context.gate.opened.set()
    context.statuses = []
    for _ in range(count):
        # An answer is on its way a moment before its thread is idle.
        wait_for(lambda: not context.server.busy_threads, 5, "an idle thread")
        context.statuses.append(ask(context.port))


@then("{threads:d} threads serve and all {count:d} requests are answered")
def check_threads(context: Any, threads: int, count: int) -> None:
    assert context.statuses == [200] * count, context.statuses
    assert len(context.gate.threads) == threads, context.gate.threads
