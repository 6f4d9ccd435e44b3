"""Steps for reward calls, in-process with in-memory targets."""

import time
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when

from features.platform_fakes import (
    REWARD_ROUTE,
    job_contents,
    reward_table,
)
from features.steps.platform_jobs_steps import (
    DEADLINE_S,
    JOB,
    check_complete,
    results,
    start_memory_fleet,
    wait_for_results,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.tasks import job_writer, scoring
from hibiscuspin.tasks.job_store import ItemResult, JobItem, trim_default


@given(
    "instances a, b and c before {engines:d} engines and {scorers:d} scorers "
    "of {slots:d} slots"
)
def start_fleet(context: Any, engines: int, scorers: int, slots: int) -> None:
    start_memory_fleet(context, engines, slots, scorers)


@when(
    "{name} accepts a scored job of {groups:d} groups of {size:d} samples with "
    "{events:d} events"
)
def accept(
    context: Any, name: str, groups: int, size: int, events: int
) -> None:
    memory = context.memory
    context.job = job_contents(JOB, groups, size, events, scored=True)
    jobs = memory.jobs_by_name[name]
    jobs.submit(context.job, memory.route, monotonic() + DEADLINE_S)


def stamps_of(context: Any, reward_id: str) -> list[str]:
    return [
        stamp
        for scorer in context.memory.scorer_by_name.values()
        for stamp in scorer.stamps.get(reward_id, ())
    ]


@then("all results of the job have the stamps of their reward calls")
def check_scores(context: Any) -> None:
    rows = wait_for_results(context)
    check_complete(context, rows)
    for row in rows:
        assert row.score in stamps_of(context, f"r-{row.name}"), row


@then("each reward call was sent 1 time, after the sample's last event")
def check_sent(context: Any) -> None:
    for item in context.job.items:
        sent_at = sent_times(context, f"r-{item.name}")
        assert len(sent_at) == 1, (item.name, sent_at)
        ended_at = [
            target.ended_at[item.name]
            for target in context.memory.target_by_name.values()
            if item.name in target.ended_at
        ]
        assert sent_at[0] >= max(ended_at), item.name


def sent_times(context: Any, reward_id: str) -> list[float]:
    return [
        at
        for scorer in context.memory.scorer_by_name.values()
        for at in scorer.sent_at.get(reward_id, ())
    ]


@given('scorer {name} has the fault "{fault}"')
def set_fault(context: Any, name: str, fault: str) -> None:
    context.memory.scorer_by_name[name].fault = fault


@when("all scorers are healthy again")
def heal(context: Any) -> None:
    for scorer in context.memory.scorer_by_name.values():
        scorer.fault = ""


@given("reward calls may be sent to {count:d} targets")
def set_max_attempts(context: Any, count: int) -> None:
    route = REWARD_ROUTE._replace(max_attempts=count)
    context.memory.routes.activate(reward_table(2, route))


@then("each reward call was answered with {count:d} errors")
def check_errors(context: Any, count: int) -> None:
    for item in context.job.items:
        sent_at = sent_times(context, f"r-{item.name}")
        assert len(sent_at) == count, (item.name, sent_at)


@then("no result of the job is listed")
def check_unlisted(context: Any) -> None:
    assert not results(context, "c")


@given("results that are not published")
def stop_publishing(context: Any) -> None:
    def next_chunk(self: object, now: float) -> None:
        return None

    context.unpublished = mock.patch.object(
        job_writer.JobWriter, "_next_chunk", next_chunk
    )
    context.unpublished.start()


@when("results are published again")
def publish(context: Any) -> None:
    context.unpublished.stop()


@then("no reward call is sent within {seconds:g} s")
def check_none_sent(context: Any, seconds: float) -> None:
    # A call that was being sent when the job ended may still arrive.
    time.sleep(0.1)
    before = count_sent(context)
    time.sleep(seconds)
    assert count_sent(context) == before
    assert not results(context, "c")


def count_sent(context: Any) -> int:
    return sum(
        len(sent_at)
        for scorer in context.memory.scorer_by_name.values()
        for sent_at in scorer.sent_at.values()
    )


@given("reward calls have no route")
def remove_route(context: Any) -> None:
    context.memory.routes.activate(reward_table(2))


@when("reward calls have a route again")
def restore_route(context: Any) -> None:
    context.memory.routes.activate(reward_table(3, REWARD_ROUTE))


@given("the queue of samples to score has room for {count:d}")
def limit_queue(context: Any, count: int) -> None:
    patch = mock.patch.object(scoring, "MAX_BACKLOG", count)
    patch.start()
    context.add_cleanup(patch.stop)


@then("unscored items and results are stored without the newer fields")
def check_trimmed(context: Any) -> None:
    item = job_contents(JOB, 1, 1, 5).items[0]
    result = ItemResult(item.name, True, "text", (1,))
    assert trim_default(item) == tuple(item)[:-1]
    assert trim_default(result) == tuple(result)[:-1]


@then("scored items and results are read back as they were")
def check_round_trip(context: Any) -> None:
    unscored = job_contents(JOB, 1, 1, 5).items[0]
    scored = job_contents(JOB, 1, 1, 5, scored=True).items[0]
    for item in (unscored, scored):
        packed = msgspec.msgpack.encode(trim_default(item))
        assert msgspec.msgpack.decode(packed, type=JobItem) == item
    for score in ("", "stamp"):
        result = ItemResult(scored.name, True, "text", (1,), score)
        packed = msgspec.msgpack.encode(trim_default(result))
        assert msgspec.msgpack.decode(packed, type=ItemResult) == result
