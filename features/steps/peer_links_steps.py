"""Steps for the streams that an instance opens to a peer."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from bench.fleet import free_address
from hibiscuspin.clock import monotonic
from hibiscuspin.peers import hibiscuspin_grpc, hibiscuspin_pb2
from hibiscuspin.peers.links import Links

PEER = "p-1"
POLL_INTERVAL_S = 0.02
WAIT_S = 10.0


class _Acceptor(hibiscuspin_grpc.PeersBase):  # type: ignore[misc]
    """Sends its `Hello` on each stream, then ends the stream."""

    def __init__(self, status: Status) -> None:
        self._status = status
        self.streams = 0

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(_hello(PEER))
        self.streams += 1
        if self._status is not Status.OK:
            raise GRPCError(self._status)

    async def Call(self, stream: Any) -> None:  # noqa: N802
        raise GRPCError(Status.UNIMPLEMENTED)


class _KeepingAcceptor(_Acceptor):
    """Keeps each stream open."""

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        await super().Exchange(stream)
        async for _ in stream:
            pass


class _LogRecorder(logging.Handler):
    """Keeps the messages of warnings and errors."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(self.format(record))


def _hello(instance: str) -> Any:
    hello = hibiscuspin_pb2.Hello(instance=instance, data_centre="c-1")
    return hibiscuspin_pb2.Update(hello=hello)


def _new_links() -> Links:
    return Links(
        "secret",
        lambda: _hello("i-1"),
        lambda link, update: None,
        lambda _: None,
    )


@given('an acceptor that ends each stream with status "{status}"')
def create_acceptor(context: Any, status: str) -> None:
    context.acceptor = _Acceptor(Status[status])


@when("an instance opens a stream to it")
def create_links(context: Any) -> None:
    context.peer_address = free_address()


@then("the stream is reopened within {seconds:g} s without a logged error")
def check_reopened(context: Any, seconds: float) -> None:
    recorder = _LogRecorder()
    logger = logging.getLogger("hibiscuspin.peers")
    logger.addHandler(recorder)
    try:
        asyncio.run(
            _wait_reopened(context.acceptor, context.peer_address, seconds)
        )
    finally:
        logger.removeHandler(recorder)
    assert context.acceptor.streams >= 2, context.acceptor.streams
    assert not recorder.messages, recorder.messages


async def _wait_reopened(
    acceptor: _Acceptor, address: Any, timeout_s: float
) -> None:
    server = Server([acceptor])
    await server.start(address.host, address.port)
    links = _new_links()
    links.reconcile({PEER: str(address)})
    deadline = monotonic() + timeout_s
    while acceptor.streams < 2 and monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
    await links.close()
    server.close()
    await server.wait_closed()


@given("a peer that refuses connections until it is restarted")
def create_restarting_peer(context: Any) -> None:
    context.acceptor = _KeepingAcceptor(Status.OK)
    context.peer_address = free_address()


@when("an instance opens a stream to it, and it is restarted")
def open_stream_across_restart(context: Any) -> None:
    context.refusing_before, context.refusing_after = asyncio.run(
        _observe_restart(context.acceptor, context.peer_address)
    )


@then("it no longer counts as refusing while the stream is open")
def check_not_refusing(context: Any) -> None:
    assert context.refusing_before == {PEER}, context.refusing_before
    assert context.refusing_after == set(), context.refusing_after


async def _observe_restart(
    acceptor: _Acceptor, address: Any
) -> tuple[set[str], set[str]]:
    """Returns the refusing peers before and after the start of a peer."""
    links = _new_links()
    links.reconcile({PEER: str(address)})
    await _poll(lambda: bool(links.refusing_peers))
    before = set(links.refusing_peers)
    server = Server([acceptor])
    await server.start(address.host, address.port)
    await _poll(lambda: links.neighbours() == {PEER})
    after = set(links.refusing_peers)
    await links.close()
    server.close()
    await server.wait_closed()
    return before, after


async def _poll(condition: Callable[[], bool]) -> None:
    deadline = monotonic() + WAIT_S
    while not condition():
        assert monotonic() < deadline, "the awaited state did not come"
        await asyncio.sleep(POLL_INTERVAL_S)
