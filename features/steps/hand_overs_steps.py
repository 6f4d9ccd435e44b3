"""Steps on what a job's holder leaves to the next one."""

import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

import msgspec
from behave import given, then, when

from features.platform_fakes import MemoryStore, job_contents
from features.steps.platform_jobs_steps import JOB
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions.samples import SampleEvent
from hibiscuspin.decisions.saved_samples import SavedSample, merge
from hibiscuspin.decisions.software import Software
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    CommitConflict,
    CommitResult,
    Transaction,
)
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.tasks import jobs as jobs_task
from hibiscuspin.tasks.job_store import (
    HEAD_PREFIX,
    JobHead,
    JobStore,
    SavedSamples,
    StoredHead,
)

WRITE_TIMEOUT_S = 1.0
ENDS = {"incomplete": None, "complete": "", "with a score": "0.5"}
SOFTWARE = Software("s", "v1")


def events_of(text: int, count: int, name: str = "i") -> list[SampleEvent]:
    return [
        SampleEvent(n, f"{name}-{text}-{n}", 1, SOFTWARE)
        for n in range(1, count + 1)
    ]


@when("the store has {count:d} events of each sample's earlier text")
def store_earlier(context: Any, count: int) -> None:
    memory = context.memory
    local = memory.jobs_by_name["a"]._job_by_id[JOB]
    assert all(sample.complete for sample in local._samples)
    records = {
        item.name: SavedSample(events_of(0, count, "earlier"))
        for item in context.job.items
    }
    JobStore(memory.store, memory.clock).save_samples(
        JOB,
        local.stored,
        SavedSamples(records),
        monotonic() + WRITE_TIMEOUT_S,
    )


@when("the holder of the job stops {count:d} times")
def stop_holders(context: Any, count: int) -> None:
    memory = context.memory
    store = JobStore(memory.store, memory.clock)
    for _ in range(count):
        stored = store.head(JOB, monotonic() + WRITE_TIMEOUT_S)
        assert stored is not None
        name = stored.head["holder"]
        memory.jobs_by_name[name].hand_over()
        del memory.members[name]
        memory.jobs_by_name.pop(name).stop()
        time.sleep(0.1)


@when("the holder of the job is killed {count:d} times, each after {after:g} s")
def kill_holders(context: Any, count: int, after: float) -> None:
    memory = context.memory
    store = JobStore(memory.store, memory.clock)
    for number in range(count):
        time.sleep(after)
        stored = store.head(JOB, monotonic() + WRITE_TIMEOUT_S)
        assert stored is not None
        killed = stored.head["holder"]
        memory.kill(killed)
        successor = min(memory.jobs_by_name)
        assert memory.jobs_by_name[successor].adopt(JOB)
        memory.start(killed, str(number + 2))


@then("each sample ran at most {count:d} times")
def check_most_runs(context: Any, count: int) -> None:
    targets = context.memory.target_by_name.values()
    for item in context.job.items:
        runs = sum(len(target.runs.get(item.name, ())) for target in targets)
        assert 0 < runs <= count, (item.name, runs)


@given("a store that takes only heads of jobs")
def refuse_writes(context: Any) -> None:
    def commit(
        transaction: Transaction, deadline: float
    ) -> CommitResult | CommitConflict:
        keys = [put.key for put in transaction.puts]
        if not any(key.startswith(HEAD_PREFIX) for key in keys):
            raise StoreError(f"writes of {keys} are refused", False)
        outcome: CommitResult | CommitConflict = store_commit(
            transaction, deadline
        )
        return outcome

    store = context.memory.store
    store_commit = context.store_commit = store.commit
    store.commit = commit


@when("the store takes all writes again")
def accept_writes(context: Any) -> None:
    context.memory.store.commit = context.store_commit


@given("engines that answer each run with {status:d}")
def fail_runs(context: Any, status: int) -> None:
    for target in context.memory.target_by_name.values():
        target.fault = str(status)


@given("the engines fail the next {count:d} runs of each sample")
@when("the engines fail the next {count:d} runs of each sample")
def fail_next_runs(context: Any, count: int) -> None:
    names = [item.name for item in job_contents(JOB, 1, 2, 0).items]
    failures = Counter(dict.fromkeys(names, count))
    for target in context.memory.target_by_name.values():
        target.failures_by_request = failures


@given("a {which} record of {count:d} events of text {number:d}, {end}")
def set_record(
    context: Any, which: str, count: int, number: int, end: str
) -> None:
    events = events_of(number, count, which)
    if end == "given up":
        record = SavedSample(events, None, number, 3, True)
    elif end.endswith("errors"):
        record = SavedSample(events, None, number, int(end.split()[1]))
    else:
        record = SavedSample(events, ENDS[end], number)
    setattr(context, f"{which}_record", record)


@then("the {which} record is taken with {errors:d} errors")
def check_errors(context: Any, which: str, errors: int) -> None:
    merged = merge({"i": context.stored_record}, {"i": context.sent_record})
    record = getattr(context, f"{which}_record")
    assert merged == {"i": record._replace(errors=errors)}, merged


@then("the {which} record is taken as it is")
def check_taken(context: Any, which: str) -> None:
    merged = merge({"i": context.stored_record}, {"i": context.sent_record})
    expected = getattr(context, f"{which}_record")
    errors = merged["i"].errors
    assert merged == {"i": expected._replace(errors=errors)}, merged


@given("instances that know only the earlier call to take a job over")
def forget_call(context: Any) -> None:
    def refuse(body: bytes) -> bytes:
        raise HibiscusError(ErrorKind.NOT_FOUND, "There is no such method.")

    peers = context.memory.peers
    for address, handlers in peers.handlers_by_address.items():
        assert jobs_task.TAKE_OVER_METHOD in handlers
        peers.handlers_by_address[address] = {
            **handlers,
            jobs_task.TAKE_OVER_METHOD: refuse,
        }


def saved_states() -> dict[str, SavedSample]:
    return {
        "running": SavedSample(events_of(0, 20)),
        "complete": SavedSample(events_of(0, 20), ""),
        "scored": SavedSample(events_of(0, 20), "0.5"),
        "begun anew": SavedSample(events_of(2, 13), None, 2),
        "about to begin anew": SavedSample([], None, 1),
        "failed": SavedSample([], None, 0, 2),
        "given up": SavedSample([], None, 0, 3, True),
    }


@given("samples in each state that a holder may save")
def save_states(context: Any) -> None:
    context.store = MemoryStore()
    context.job_store = JobStore(context.store, SystemClock())
    context.saved = SavedSamples(saved_states())
    head: JobHead = {
        "holder": "a",
        "term": "1",
        "parts": 0,
        "total": 0,
        "submitted_at": 0.0,
        "ended": False,
        "done": False,
    }
    revision = context.store.write("hibiscuspin/jobs/" + JOB, head)
    context.job_store.save_samples(
        JOB, StoredHead(head, revision), context.saved, monotonic() + 1.0
    )


def load(context: Any) -> Mapping[str, SavedSample]:
    loaded = context.job_store.load_samples(JOB, monotonic() + 1.0)
    by_name: Mapping[str, SavedSample] = loaded.by_name
    return by_name


@then("they are the same when they are read from the store")
def check_loaded(context: Any) -> None:
    assert load(context) == context.saved.by_name, load(context)


@then("a build that does not know all parts reads their events and scores")
def check_plain_parts(context: Any) -> None:
    packed = msgspec.msgpack.encode(context.saved.plain_events_by_name())
    plain = msgspec.msgpack.decode(
        packed, type=dict[str, list[tuple[int, str, int]]]
    )
    assert plain.keys() == {"running", "complete", "scored", "begun anew"}
    assert context.saved.score_by_name() == {"complete": "", "scored": "0.5"}


@then("parts that such a build left in the store are not used")
def check_outdated_parts(context: Any) -> None:
    key = f"hibiscuspin/job-made/{JOB}"
    context.store.rewrite(key)
    beginnings = {row.beginning for row in load(context).values()}
    assert beginnings == {0}, beginnings
