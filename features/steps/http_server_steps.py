"""Steps for the threads of the HTTP server, over sockets."""

import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when

from bench.fleet import free_address, wait_for
from hibiscuspin.tasks.http_server import HttpServer


class BlockingApp:
    """A WSGI application whose requests wait until `opened` is set."""

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


def get_status(port: int) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/")
    status = connection.getresponse().status
    connection.close()
    return status


def is_listening(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 1.0).close()
    except OSError:
        return False
    return True


@given("a server with at most {most:d} threads")
def start_server(context: Any, most: int) -> None:
    context.app = BlockingApp()
    address = free_address()
    context.port = address.port
    context.max_threads = most
    server = HttpServer("test", context.app, address, most)
    stop = threading.Event()
    thread = threading.Thread(target=server.run, args=(stop,))
    thread.start()
    wait_for(lambda: is_listening(address.port), 5, "the start of the server")
    context.server = server

    def stop_server() -> None:
        context.app.opened.set()
        stop.set()
        thread.join()

    context.add_cleanup(stop_server)


@when("{count:d} requests are open at once")
def send_at_once(context: Any, count: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        futures = [pool.submit(get_status, context.port) for _ in range(count)]
        expected = min(count, context.max_threads)
        wait_for(
            lambda: context.app.entered >= expected,
            5,
            "the start of the requests",
        )
        context.app.opened.set()
        context.statuses = [future.result() for future in futures]


@when("{count:d} requests are sent one after the other")
def send_in_turn(context: Any, count: int) -> None:
    context.app.opened.set()
    context.statuses = []
    for _ in range(count):
        # A response is sent shortly before its thread becomes idle.
        wait_for(
            lambda: not context.server.busy_threads,
            5,
            "the end of the previous request",
        )
        context.statuses.append(get_status(context.port))


@then("{threads:d} threads serve and all {count:d} requests are answered")
def check_threads(context: Any, threads: int, count: int) -> None:
    assert context.statuses == [200] * count, context.statuses
    assert len(context.app.threads) == threads, context.app.threads
