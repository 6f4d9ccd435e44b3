"""Steps on streams and samples before two software versions of a target."""

import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from behave import given, then, when

from features.platform_fakes import MODEL, SERVICE, MemoryFleet
from features.steps.platform_calls_steps import route
from features.steps.platform_jobs_steps import (
    JOB,
    lose_holder,
    stop_holder,
    wait_for_results,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.routes import CallKind
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.errors import ExecutionStatus, HibiscusError
from hibiscuspin.tasks.forwarding import ForwardedCall
from hibiscuspin.tasks.stream_records import SAVE_PERIOD_S

DEADLINE_S = 4.0
# How many more events a stream gets at each instance that takes it up.
EVENTS_PER_TRY = 10
BEGIN_S = 0.1
# How much later than its start a target may be in all lists.
LIST_LAG_S = 1.0
STORED_S = 2.5 * SAVE_PERIOD_S
REFUSALS_PASSED_OVER = 3


class StreamEvent(NamedTuple):
    """An event as its caller read it."""

    number: int
    software_version: str


class CallerStream:
    """A stream over all tries of its caller.

    Attributes:
        request_id: The id of its first try.
        last: The number of its last event.
        events: The events that the caller has.
        refusals: The errors of refused tries, and how long each took.
        is_whole: Whether it ended after its last event.
        resumes: The request that a later try names, if not the first one.
    """

    def __init__(self, request_id: str, last: int) -> None:
        self.request_id = request_id
        self.resumes: str | None = None
        self.last = last
        self.events: list[StreamEvent] = []
        self.refusals: list[tuple[HibiscusError, float]] = []
        self.is_whole = False
        self._tries = 0

    def read(self, fleet: MemoryFleet, name: str, count: int | None) -> None:
        """Makes one try at an instance.

        Args:
            fleet: The instances.
            name: The instance.
            count: How many events to read before the connection is cut; None
                for all.
        """
        self._tries += 1
        started_at = monotonic()
        begun = len(self.events)
        try:
            _, parts = fleet.streams_by_name[name].open(self._call())
            for part in parts:
                self._append(part)
                if count is not None and len(self.events) - begun >= count:
                    parts.close()  # type: ignore[attr-defined]
                    return
            self.is_whole = True
        except HibiscusError as error:
            self.refusals.append((error, monotonic() - started_at))
        except TargetError:
            return

    def _append(self, part: bytes) -> None:
        for line in part.decode().split():
            number, _, version = line.partition("@")
            assert int(number) == len(self.events) + 1, (number, self.events)
            self.events.append(StreamEvent(int(number), version))

    def _call(self) -> ForwardedCall:
        after = len(self.events)
        request_id = f"{self.request_id}-{self._tries}"
        headers = {"Last-Event-Id": str(after)} if after else {}
        resumes = (
            f"{self.request_id}-1" if self.resumes is None else self.resumes
        )
        body = str(self.last).encode()
        now = monotonic()
        return ForwardedCall(
            ProxiedRequest(request_id, "POST", "/c/x", headers, body),
            route(CallKind.STREAM),
            SERVICE,
            now,
            now + DEADLINE_S,
            lambda: False,
            resumes=resumes if after else "",
            resumed_after=after,
        )


@given("two of the engines have software version v1, and two v2")
def set_versions(context: Any) -> None:
    fleet = context.memory
    for number, target in enumerate(fleet.target_by_name.values()):
        target.software_version = f"v{1 + number % 2}"
        target.marks_events = True
    fleet.refresh_targets()


def read_all(context: Any, name: str, count: int | None) -> None:
    unfinished = [s for s in context.streams if not s.is_whole]
    # In another order they are placed at other engines.
    random.Random(name).shuffle(unfinished)
    with ThreadPoolExecutor(len(context.streams)) as executor:
        reads = [
            executor.submit(stream.read, context.memory, name, count)
            for stream in unfinished
        ]
        for read in reads:
            read.result()


def new_streams(context: Any, count: int, events: int) -> None:
    context.streams = [CallerStream(f"s{n}", events) for n in range(count)]


@given(
    "{count:d} streams of {events:d} events begin at a, and are cut after "
    "{read:d} events"
)
def begin_streams(context: Any, count: int, events: int, read: int) -> None:
    new_streams(context, count, events)
    read_all(context, "a", read)
    assert all(len(s.events) >= read for s in context.streams)
    # Half of the streams should be of each version.
    versions = [s.events[0].software_version for s in context.streams]
    assert set(versions) == {"v1", "v2"}, versions


@given("a can't reach the other instances")
def cut_first(context: Any) -> None:
    cut_off(context.memory, "a")


def cut_off(fleet: MemoryFleet, name: str) -> None:
    """Cuts an instance off from all others, in both directions."""
    for other, connection in fleet.peers_by_name.items():
        connection.cut_from = (
            {n for n in fleet.members if n != name} if other == name else {name}
        )


def reconnect(fleet: MemoryFleet) -> None:
    for connection in fleet.peers_by_name.values():
        connection.cut_from = set()


def remove_engines(fleet: MemoryFleet, names: list[str]) -> None:
    for name in names:
        target = fleet.target_by_name.pop(name)
        target.crash()
        target.fault = "unreachable"
    fleet.refresh_targets()


def engines_of(fleet: MemoryFleet, version: str) -> list[str]:
    return [
        name
        for name, target in fleet.target_by_name.items()
        if target.software_version == version
    ]


def kill_and_start(fleet: MemoryFleet, names: str) -> None:
    """Kills instances at once, and starts them when all are gone."""
    for name in names:
        fleet.kill(name)
    fleet.store.down = False
    for name in names:
        fleet.start(name, "2")


def start_again_at_once(fleet: MemoryFleet) -> None:
    fleet.peers.handlers_by_address.clear()
    start_again(fleet, "abc")


def start_again(fleet: MemoryFleet, names: str) -> None:
    for name in names:
        fleet.start(name, "2")


def refuse_all(fleet: MemoryFleet) -> None:
    for target in fleet.target_by_name.values():
        target.fault = "full"


def remove_version(fleet: MemoryFleet, version: str) -> None:
    remove_engines(fleet, engines_of(fleet, version))


def kill_all_later(fleet: MemoryFleet) -> None:
    """Kills all once the latest streams have been stored."""
    time.sleep(STORED_S)
    kill_and_start(fleet, "abc")


def kill_all_while_leaving(fleet: MemoryFleet) -> None:
    remove_version(fleet, "v1")
    kill_all_later(fleet)


def restart_unseen(fleet: MemoryFleet, names: list[str]) -> None:
    """Starts engines again under their names as v2; no list shows it yet."""
    for name in names:
        fleet.target_by_name[name].software_version = "v2"
        fleet.target_by_name[name].born_ms += 1


CHANGE_BY_EVENT: dict[str, Callable[[MemoryFleet], None]] = {
    "nothing else": lambda fleet: None,
    "a is killed": lambda fleet: fleet.kill("a"),
    "b starts again": lambda fleet: start_again(fleet, "b"),
    "a, b and c start again in turn": lambda fleet: start_again(fleet, "abc"),
    "all instances start again at once": start_again_at_once,
    "all instances are killed": kill_all_later,
    "all instances are killed while v1 leaves": kill_all_while_leaving,
    "all instances but c are killed": lambda fleet: kill_and_start(fleet, "ab"),
    "an engine of each version is gone": lambda fleet: remove_engines(
        fleet, ["t0", "t1"]
    ),
    "v1 has no engine left": lambda fleet: remove_version(fleet, "v1"),
    "c was cut off from the other instances": lambda fleet: cut_off(fleet, "c"),
    "all engines refuse for 0.5 s": refuse_all,
    "the engines of v1 start again as v2, unseen": lambda fleet: restart_unseen(
        fleet, engines_of(fleet, "v1")
    ),
    "all lists show it": lambda fleet: fleet.refresh_targets(),
}


def apply_event(fleet: MemoryFleet, event: str) -> None:
    CHANGE_BY_EVENT[event](fleet)


@when("they are taken up at b and at c in turn, after {event}")
def take_up(context: Any, event: str) -> None:
    fleet = context.memory
    if event.startswith("c was cut off"):
        # The streams began while c was out of reach.
        cut_off(fleet, "c")
        for stream in context.streams:
            stream.request_id += "-again"
            stream.events.clear()
        read_all(context, "a", EVENTS_PER_TRY)
    else:
        apply_event(fleet, event)
    with ThreadPoolExecutor(1) as executor:
        if event.startswith("all engines refuse"):
            executor.submit(_accept_later, fleet, 0.5)
        read_all(context, "b", EVENTS_PER_TRY)
        read_all(context, "c", None)


def _accept_later(fleet: MemoryFleet, delay_s: float) -> None:
    time.sleep(delay_s)
    for target in fleet.target_by_name.values():
        target.fault = ""


@given("engine {name} has started again as v2, and no list shows it")
def restart_one(context: Any, name: str) -> None:
    restart_unseen(context.memory, [name])


@given("engines break streams off after {count:d} events")
def break_streams(context: Any, count: int) -> None:
    for target in context.memory.target_by_name.values():
        target.fault, target.break_at = "break", count


@given("engines of v1 break streams off before the first event")
def break_before_first(context: Any) -> None:
    fleet = context.memory
    for name in engines_of(fleet, "v1"):
        fleet.target_by_name[name].fault = "break"
        fleet.target_by_name[name].break_at = 0


@when("{count:d} streams of {events:d} events are read at a to their end")
def read_to_end(context: Any, count: int, events: int) -> None:
    new_streams(context, count, events)
    read_all(context, "a", None)


@when("all instances are killed and start again")
def kill_all(context: Any) -> None:
    kill_and_start(context.memory, "abc")


@when(
    "{count:d} streams of {events:d} events begin at a, and are cut after "
    "{read:d} events"
)
def begin_later(context: Any, count: int, events: int, read: int) -> None:
    begin_streams(context, count, events, read)


@when("they are taken up at b and at c in turn, and name {request}")
def take_up_by(context: Any, request: str) -> None:
    for stream in context.streams:
        if request == "no request":
            stream.resumes = ""
        elif request == "a request that nobody knows":
            stream.resumes = "unknown"
        else:
            assert request == "the first try that took them up", request
            stream.resumes = f"{stream.request_id}-2"
    read_all(context, "b", EVENTS_PER_TRY)
    read_all(context, "c", None)


@then("no stream goes on")
def check_none_goes_on(context: Any) -> None:
    fleet: MemoryFleet = context.memory
    went_on = [
        (name, request_id)
        for name, target in fleet.target_by_name.items()
        for request_id, runs in target.runs.items()
        if any(runs)
    ]
    assert not went_on, went_on
    assert all(len(s.refusals) == 2 for s in context.streams)


@then("no stream holds events of two software versions")
def check_single(context: Any) -> None:
    mixed = [
        (stream.request_id, sorted({e.software_version for e in stream.events}))
        for stream in context.streams
        if len({event.software_version for event in stream.events}) > 1
    ]
    assert not mixed, (len(mixed), mixed)


@then("all streams of v2 were whole at the end")
def check_new_whole(context: Any) -> None:
    of_v2 = [s for s in context.streams if s.events[0].software_version == "v2"]
    assert of_v2 and all(s.is_whole for s in of_v2)


@then("{how_many} of the {count:d} streams were whole at the end")
def check_whole(context: Any, how_many: str, count: int) -> None:
    whole = [s for s in context.streams if s.is_whole]
    assert all(len(s.events) == s.last for s in whole)
    assert len(context.streams) == count
    if how_many == "all":
        assert len(whole) == count, (len(whole), context.streams[0].refusals)
    elif how_many == "none":
        assert not whole, len(whole)
    else:
        assert len(whole) < count, len(whole)


@then("each refusal says that the request has not run")
def check_refusals(context: Any) -> None:
    for stream in context.streams:
        for error, _ in stream.refusals:
            assert error.ran is ExecutionStatus.NO, error
            assert error.response.status == 503, error


@then("a refusal takes at most {limit_s:g} s")
def check_refused_early(context: Any, limit_s: float) -> None:
    took = [t for s in context.streams for _, t in s.refusals]
    assert took
    assert max(took) <= limit_s, took


@when("meanwhile {event}")
def change_meanwhile(context: Any, event: str) -> None:
    fleet = context.memory
    if event.startswith("engines break"):
        break_streams(context, 25)
        return
    time.sleep(BEGIN_S)
    if event.startswith("t0 and t2 start again"):
        restart_unseen(fleet, ["t0", "t2"])
        time.sleep(LIST_LAG_S)
        fleet.refresh_targets()
    elif event.startswith("t0 and t2 are cleared"):
        context.memory.exchange_by_name["b"].clear_samples(
            ["t0", "t2"], MODEL, 0.5
        )
    elif event.startswith("all instances are killed"):
        if "v1 leaves" in event:
            remove_version(fleet, "v1")
        kill_and_start(fleet, "abc")
        assert fleet.jobs_by_name["b"].adopt(JOB)
    elif event.startswith("a is lost"):
        remove_engines(fleet, ["t0"])
        lose_holder(context)
    elif event.startswith("a stops"):
        stop_holder(context, 0.0)
    else:
        apply_event(fleet, event)


@then("within {limit_s:g} s each text is whole and of one software version")
def check_texts(context: Any, limit_s: float) -> None:
    for row in wait_for_results(context, limit_s):
        assert row.done, row.name
        marks = {line.partition("@")[2] for line in row.text.split("\n")}
        assert len(marks) == 1, (row.name, marks)
        lines = [line.partition("@")[0] for line in row.text.split("\n")]
        expected = [f"{row.name}-{n}" for n in range(1, len(lines) + 1)]
        assert lines == expected and len(lines) == 60, row.name
