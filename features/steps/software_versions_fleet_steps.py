"""Steps on streams of two software versions, with processes."""

import contextlib
import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from behave import given, then, when

from bench.fleet import wait_for
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError, WaitLimits
from hibiscuspin.edges.http import HttpStream, do_nothing
from hibiscuspin.tasks.stream_records import SAVE_PERIOD_S
from standins.platform_fleet import MODEL, PlatformFleet

LINE_TIMEOUT_S = 3.0
STREAM_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
STORED_S = 2.5 * SAVE_PERIOD_S
OK_STATUS = 200
NOT_RUN_STATUS = 503
FIRST_SOFTWARE = "v1"

stream_numbers = itertools.count()


def error_limits() -> WaitLimits:
    return WaitLimits(monotonic() + STREAM_TIMEOUT_S, LINE_TIMEOUT_S)


class ProcessStream:
    """A caller's stream over its tries at instance processes.

    Attributes:
        request_id: The id of the first request.
        events: How many events it is to have.
        numbers: The numbers of the events that the caller has.
        versions: The software versions that wrote them.
        response: The response of the latest request.
        refusal: Its body if it is not a stream.
    """

    def __init__(self, request_id: str, events: int) -> None:
        self.request_id = request_id
        self.events = events
        self.numbers: list[int] = []
        self.versions: set[str] = set()
        self.response: HttpStream | None = None
        self.refusal = b""

    def open(self, platform: PlatformFleet, name: str) -> None:
        """Opens the stream, or takes it up after its last event."""
        after = len(self.numbers)
        request_id = f"{self.request_id}-again" if after else self.request_id
        self.response = platform.open_stream(
            name, request_id, self.events, self.request_id, after
        )

    def read(self, count: int | None) -> None:
        """Reads at least `count` further events, or all to the end."""
        assert self.response is not None
        if self.response.status != OK_STATUS:
            self.refusal = self.response.read(error_limits())
            return
        end = None if count is None else len(self.numbers) + count
        stop_at = monotonic() + STREAM_TIMEOUT_S
        while end is None or len(self.numbers) < end:
            lines = self.response.read_lines(
                stop_at, LINE_TIMEOUT_S, do_nothing
            )
            if not lines:
                return
            for line in lines:
                self._read_line(line.decode().strip())

    def _read_line(self, line: str) -> None:
        if line.startswith(": "):
            self.versions.add(line.removeprefix(": "))
        elif line.startswith("id: "):
            self.numbers.append(int(line.removeprefix("id: ")))


@given("two further engines have software version v2")
def add_engines(context: Any) -> None:
    platform: PlatformFleet = context.platform
    names = ("e-v2-0", "e-v2-1")
    for name in names:
        platform.start_target(name, "llm", MODEL, software="v2")
    platform.wait_discovered(names)


@given(
    "{count:d} streams of {events:d} events begin at {name}, and each has "
    "brought {read:d} events"
)
def begin(context: Any, count: int, events: int, name: str, read: int) -> None:
    context.streams = [
        ProcessStream(f"s{next(stream_numbers)}", events) for _ in range(count)
    ]

    # One by one, so that each is placed by the load of those before it.
    for stream in context.streams:
        stream.open(context.platform, name)
    with ThreadPoolExecutor(count) as executor:
        list(executor.map(lambda stream: stream.read(read), context.streams))
    versions = [stream.versions for stream in context.streams]
    assert {"v1"} in versions and {"v2"} in versions, versions


@when("{name} is killed, and the streams are taken up at {other}")
def kill_and_take_up(context: Any, name: str, other: str) -> None:
    platform: PlatformFleet = context.platform
    platform.instance_by_name[name].process.kill()

    def take_up(stream: ProcessStream) -> None:
        # A connection may also end between two chunks.
        with contextlib.suppress(TargetError):
            stream.read(None)
        if len(stream.numbers) < stream.events:
            stream.open(platform, other)
            stream.read(None)

    with ThreadPoolExecutor(len(context.streams)) as executor:
        list(executor.map(take_up, context.streams))


@given("all instances are ready")
def wait_ready(context: Any) -> None:
    platform: PlatformFleet = context.platform
    for name, instance in list(platform.instance_by_name.items()):
        if not instance.process.running():
            platform.start_instance(name)
    platform.wait_ready()


@when(
    "all instances are killed at once and start again, and the streams are "
    "taken up at {name}"
)
def kill_all_and_take_up(context: Any, name: str) -> None:
    platform: PlatformFleet = context.platform
    # What began the streams is stored by then.
    time.sleep(STORED_S)
    instances = list(platform.instance_by_name.values())
    for instance in instances:
        instance.process.send(signal.SIGKILL)
    for instance in instances:
        instance.process.kill()
        platform.start_instance(instance.name)
    platform.wait_ready()
    # The refusals must not be those of an instance that knows no target yet.
    wait_for(
        lambda: begins_stream(platform, name),
        START_TIMEOUT_S,
        f"a new stream at {name}",
    )

    def take_up(stream: ProcessStream) -> None:
        # A connection may also end between two chunks.
        with contextlib.suppress(TargetError):
            stream.read(None)
        assert len(stream.numbers) < stream.events, "ended before the kill"
        stream.open(platform, name)
        stream.read(None)

    with ThreadPoolExecutor(len(context.streams)) as executor:
        list(executor.map(take_up, context.streams))


def begins_stream(platform: PlatformFleet, name: str) -> bool:
    """Returns whether a new stream begins at an instance."""
    stream = ProcessStream(f"s{next(stream_numbers)}", 2)
    try:
        stream.open(platform, name)
        stream.read(None)
    except TargetError:
        return False
    return len(stream.numbers) == stream.events


@when("the engines of v1 are about to leave")
def drain_old_engines(context: Any) -> None:
    platform: PlatformFleet = context.platform
    for name in platform.software_by_target:
        if platform.software_by_target[name] == FIRST_SOFTWARE:
            platform.drain_target(name)


@then("each stream of v1 is refused as not run, and the others are whole")
def check_left(context: Any) -> None:
    for stream in context.streams:
        assert len(stream.versions) == 1, (stream.request_id, stream.versions)
        if FIRST_SOFTWARE in stream.versions:
            check_not_resumable(stream)
        else:
            check_whole(stream)


@then("all {count:d} streams are whole, and none holds events of two versions")
def check_streams(context: Any, count: int) -> None:
    assert len(context.streams) == count
    for stream in context.streams:
        assert len(stream.versions) == 1, (stream.request_id, stream.versions)
        check_whole(stream)


def check_whole(stream: ProcessStream) -> None:
    """Checks that a caller has all events of a stream, in order."""
    assert stream.response is not None
    assert stream.numbers == list(range(1, stream.events + 1)), (
        stream.request_id,
        stream.response.status,
        stream.refusal,
        stream.numbers,
    )


@then("a stream that nobody knows is refused as not run by {name}")
def check_unknown(context: Any, name: str) -> None:
    stream = ProcessStream("unknown", 20)
    stream.numbers = [1, 2]
    stream.open(context.platform, name)
    stream.read(None)
    check_not_resumable(stream)


def check_not_resumable(stream: ProcessStream) -> None:
    """Checks that a stream's latest request was refused."""
    assert stream.response is not None
    assert stream.response.status == NOT_RUN_STATUS, stream.response.status
    body = msgspec.json.decode(stream.refusal)
    assert body["error"]["code"] == "stream_not_resumable", body
    assert body["error"]["ran"] == "no", body
