"""Steps for peer hubs that run in the test's process."""

import asyncio
import threading
import time
from typing import Any

from behave import given, then, when

from bench.fleet import free_address, wait_for
from hibiscuspin.clock import monotonic
from hibiscuspin.peers import hibiscuspin_pb2
from hibiscuspin.peers.hub import PeerError, PeerHub, PeerRecord
from hibiscuspin.peers.link import Link

WAIT_S = 20.0
SECRET = "peer-steps-secret"


class _RunningHub:
    """A running hub and the snapshots that it received."""

    def __init__(self, name: str, secret: str = SECRET) -> None:
        self.address = free_address()
        self.received: list[tuple[str, str, str]] = []
        self.hub = PeerHub(name, name[0], self.address, secret)
        for topic in ("members", "loads"):
            self.hub.subscribe(topic, self._recorder(topic))
        self.hub.serve("echo", lambda body: body)
        self.hub.serve("broken", _raise_error)
        self.hub.serve("slow", _echo_slowly)
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.hub.run, args=(self.stop,))
        self.thread.start()

    def _recorder(self, topic: str) -> Any:
        return lambda origin, body: self.received.append(
            (topic, origin, body.decode())
        )


def _raise_error(body: bytes) -> bytes:
    raise ValueError("broken on purpose")


def _echo_slowly(body: bytes) -> bytes:
    time.sleep(1.0)
    return body


def _start_hub(context: Any, name: str, secret: str = SECRET) -> _RunningHub:
    node = _RunningHub(name, secret)
    context.add_cleanup(node.thread.join)
    context.add_cleanup(node.stop.set)
    wait_for(lambda: node.hub.running, WAIT_S, f"the start of {name}")
    return node


def _start_and_connect(context: Any, name: str, neighbour: str) -> None:
    nodes = context.nodes_by_name
    nodes[name] = _start_hub(context, name)
    nodes[name].hub.connect({neighbour: str(nodes[neighbour].address)})
    wait_for(
        lambda: neighbour in nodes[name].hub.neighbours(),
        WAIT_S,
        f"the connection of {name}",
    )


@given('peer hubs "{names}" in a line')
def start_hubs(context: Any, names: str) -> None:
    first, *rest = names.split(", ")
    context.nodes_by_name = {first: _start_hub(context, first)}
    for name in rest:
        _start_and_connect(context, name, list(context.nodes_by_name)[-1])


@when('hub "{name}" joins next to "{neighbour}"')
@when('hub "{name}" of another data centre joins next to "{neighbour}"')
def join_hub(context: Any, name: str, neighbour: str) -> None:
    _start_and_connect(context, name, neighbour)


@when('hub "{name}" publishes "{body}" on "{topic}"')
def publish(context: Any, name: str, body: str, topic: str) -> None:
    context.nodes_by_name[name].hub.publish(topic, body.encode())


@then('hub "{name}" hears "{body}" from "{origin}" on "{topic}"')
def check_received(
    context: Any, name: str, body: str, origin: str, topic: str
) -> None:
    received = context.nodes_by_name[name].received
    wait_for(
        lambda: (topic, origin, body) in received,
        WAIT_S,
        f"the delivery to {name}",
    )


@then('hub "{name}" never heard "{body}"')
def check_never_received(context: Any, name: str, body: str) -> None:
    received = [entry[2] for entry in context.nodes_by_name[name].received]
    assert body not in received, received


@when('hub "{name}" calls "{method}" on "{instance}" within {timeout:g} s')
def call_instance(
    context: Any, name: str, method: str, instance: str, timeout: float
) -> None:
    nodes = context.nodes_by_name
    addresses = {n: str(node.address) for n, node in nodes.items()}
    addresses["gone"] = str(free_address())
    records = [PeerRecord(n, n[0], a) for n, a in addresses.items()]
    nodes[name].hub.set_instances(records)
    _record_call(context, nodes[name].hub, method, instance, timeout)


@when('a stranger calls "{method}" on "{instance}"')
def call_as_stranger(context: Any, method: str, instance: str) -> None:
    stranger = _start_hub(context, "x-1", "another-secret")
    address = str(context.nodes_by_name[instance].address)
    stranger.hub.set_instances([PeerRecord(instance, "a", address)])
    _record_call(context, stranger.hub, method, instance, WAIT_S)


def _record_call(
    context: Any, hub: PeerHub, method: str, instance: str, timeout: float
) -> None:
    deadline = monotonic() + timeout
    try:
        body = hub.call(instance, method, b"echoed", deadline)
        context.peer_result = body.decode()
    except PeerError as error:
        context.peer_result = str(error.kind)


@then('the peer call gives "{result}"')
def check_result(context: Any, result: str) -> None:
    assert context.peer_result == result, context.peer_result


class _EndingStream:
    """Queues a message on its link, and ends some turns of the loop later."""

    def __init__(self, turns: int) -> None:
        self._turns = turns
        self.link = Link(self, lambda link, update: None, lambda link: None)

    async def send_message(self, message: Any) -> None:
        await asyncio.sleep(0)

    def __aiter__(self) -> "_EndingStream":
        return self

    async def __anext__(self) -> Any:
        # The writer waits for messages by then.
        await asyncio.sleep(0.01)
        self.link.send(hibiscuspin_pb2.Update())
        for _ in range(self._turns):
            await asyncio.sleep(0)
        raise StopAsyncIteration


@when(
    "streams end up to {turns:d} turns of the event loop after a message is "
    "queued"
)
def prepare_ending_streams(context: Any, turns: int) -> None:
    context.ending_streams = [_EndingStream(n) for n in range(turns + 1)]


@then("their links end within {seconds:g} s")
def check_links_end(context: Any, seconds: float) -> None:
    async def run_links() -> list[int]:
        hello = hibiscuspin_pb2.Update()
        tasks = [
            asyncio.create_task(stream.link.run(hello))
            for stream in context.ending_streams
        ]
        await asyncio.wait(tasks, timeout=seconds)
        open_links = [n for n, task in enumerate(tasks) if not task.done()]
        # A writer that has missed its cancellation takes the next one.
        while not all(task.done() for task in tasks):
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.01)
        return open_links

    open_links = asyncio.run(run_links())
    assert not open_links, f"links open after so many turns: {open_links}"
