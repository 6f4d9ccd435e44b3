"""Steps on ends of jobs that meet takeovers, results and lost answers."""

import itertools
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when

from features.platform_fakes import MemoryFleet, job_contents
from features.steps.platform_jobs_steps import (
    JOB,
    accept,
    start_memory_fleet,
    wait_until,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.errors import ExecutionStatus, HibiscusError
from hibiscuspin.tasks.job_store import FencedError, JobStore, StoredHead

FENCED_WITHIN_S = 3.0
LISTED_WITHIN_S = 5.0
# Store calls of one end, before each of which something else may happen.
STORE_CALLS = 4


def stored_head(memory: MemoryFleet) -> StoredHead:
    stored = JobStore(memory.store, memory.clock).head(JOB, monotonic() + 1.0)
    assert stored is not None
    return stored


@when("a hands its jobs over and is still there")
def hand_over(context: Any) -> None:
    context.memory.jobs_by_name["a"].hand_over()
    assert stored_head(context.memory).head["holder"] != "a"


@when("b and c have read the job from a")
def read_at_both(context: Any) -> None:
    item = context.job.items[-1]
    for name in "bc":
        jobs = context.memory.jobs_by_name[name]
        assert jobs.item_body(JOB, item.name) == item.body


@when("the one that did not take the job over ends it")
def end_at_other(context: Any) -> None:
    holder = stored_head(context.memory).head["holder"]
    other = "c" if holder == "b" else "b"
    context.memory.jobs_by_name[other].end(JOB)


@then("the store says that the job has ended")
def check_ended(context: Any) -> None:
    head = stored_head(context.memory).head
    assert head["ended"], head


@when("an end from b meets a store that is down")
def end_without_store(context: Any) -> None:
    memory = context.memory
    memory.jobs_by_name["b"].results(JOB, 0, 0.0)
    memory.store.down = True
    try:
        memory.jobs_by_name["b"].end(JOB)
    except HibiscusError as error:
        # a finishes the end once the store is back.
        assert error.ran is ExecutionStatus.UNKNOWN, error.ran
        return
    raise AssertionError("an end was acknowledged without the store")


@when("the store is back and a finishes its ends")
def finish_ends(context: Any) -> None:
    context.memory.store.down = False
    context.memory.jobs_by_name["a"].finish_ends()


@when("b takes the job over and a learns of it")
def take_over(context: Any) -> None:
    memory = context.memory
    old = memory.jobs_by_name["a"]._job_by_id[JOB]
    assert memory.jobs_by_name["b"].adopt(JOB)
    assert wait_until(lambda: old.stopped, FENCED_WITHIN_S)


@when("b is lost")
def lose_new_holder(context: Any) -> None:
    memory = context.memory
    memory.departed["b"] = memory.members["b"]
    memory.kill("b")


def _hand_over(memory: MemoryFleet) -> None:
    memory.jobs_by_name["a"].hand_over()


def _take_over(memory: MemoryFleet) -> None:
    memory.jobs_by_name["c"].adopt(JOB)


def _finish(memory: MemoryFleet) -> None:
    stored = stored_head(memory)
    store: Any = memory.store
    try:
        JobStore(store, memory.clock).replace_head(
            JOB, stored, {**stored.head, "done": True}, monotonic() + 1.0
        )
    except FencedError:
        return


def _lose_answer(memory: MemoryFleet) -> None:
    memory.store.replies_to_lose = 1


def _delay_commit(memory: MemoryFleet) -> None:
    memory.store.commits_to_delay = 1


EVENTS: tuple[Callable[[MemoryFleet], None], ...] = (
    _hand_over,
    _take_over,
    _finish,
    _lose_answer,
    _delay_commit,
)


def _end_beside(
    memory: MemoryFleet,
    name: str,
    event: Callable[[MemoryFleet], None],
    call: int,
) -> bool:
    """Ends the job; an event comes before one of its calls to the store.

    Returns:
        Whether the end was acknowledged.
    """
    calls = itertools.count()
    store = memory.store

    def before(method: Callable[..., Any]) -> Callable[..., Any]:
        def run(*args: Any) -> Any:
            if next(calls) == call:
                event(memory)
            return method(*args)

        return run

    with (
        mock.patch.object(store, "commit", before(store.commit)),
        mock.patch.object(store, "read", before(store.read)),
    ):
        try:
            memory.jobs_by_name[name].end(JOB)
        except HibiscusError:
            return False
    return True


@then("after each acknowledged end the store says so, whatever came between")
def check_all_orders(context: Any) -> None:
    acknowledged = 0
    cases = itertools.product("abc", EVENTS, range(STORE_CALLS))
    for name, event, call in cases:
        context.memory.close()
        start_memory_fleet(context, 2, 8, 0)
        memory = context.memory
        accept(context, "a", 1, 2, 500)
        if _end_beside(memory, name, event, call):
            acknowledged += 1
            head = stored_head(memory).head
            assert head["ended"], (name, event.__name__, call, head)
        memory.store.apply_delayed()
    assert acknowledged


@given("an instance whose memory is taken by one job")
def limit_memory(context: Any) -> None:
    size = job_contents("first", 2, 4, 5).size_bytes
    context.memory.jobs_by_name["a"]._max_held_bytes = size * 3 / 2


@when("a job ends there before the next one comes, {count:d} times")
def end_in_turn(context: Any, count: int) -> None:
    memory = context.memory
    jobs = memory.jobs_by_name["a"]
    for number in range(count + 1):
        context.last_job = f"job-{number}"
        contents = job_contents(context.last_job, 2, 4, 5)
        jobs.submit(contents, memory.route, monotonic() + LISTED_WITHIN_S)
        if number == count:
            break

        def has_results(job: str = context.last_job) -> bool:
            return len(jobs.results(job, 0, 0.0).results) == 8

        assert wait_until(has_results, LISTED_WITHIN_S)
        jobs.end(context.last_job)


@then("it holds the last job")
def check_holds_last(context: Any) -> None:
    jobs = context.memory.jobs_by_name["a"]
    assert not jobs._job_by_id[context.last_job].stopped


@then("the results of the first job can be read there")
def check_first_results(context: Any) -> None:
    found = context.memory.jobs_by_name["a"].results("job-0", 0, 0.0)
    assert found.total == 8
    assert all(row.done and row.text for row in found.results), found
