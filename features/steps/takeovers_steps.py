"""Steps on jobs whose assignment to an instance was not confirmed."""

from typing import Any
from unittest import mock

from behave import given, then, when

from features.steps.platform_jobs_steps import JOB, wait_until
from hibiscuspin.decisions import recovery
from hibiscuspin.decisions.recovery import LiveInstance, StoredJob
from hibiscuspin.edges import StoreError
from hibiscuspin.tasks.job_store import HEAD_PREFIX
from hibiscuspin.tasks.local_job import LocalJob

FAILS_WITHIN_S = 2.0


@when("b takes the job over and gets no answer from the store")
def take_over_unconfirmed(context: Any) -> None:
    try:
        context.memory.jobs_by_name["b"].adopt(JOB)
    except StoreError:
        return
    raise AssertionError("the takeover was confirmed")


@when("c takes the job over")
def take_over(context: Any) -> None:
    assert context.memory.jobs_by_name["c"].adopt(JOB)


@when("a finishes its takeovers")
def finish(context: Any) -> None:
    context.memory.jobs_by_name["a"].finish_takeovers()


@when("the thread of the job fails at a")
def fail_thread(context: Any) -> None:
    local = context.memory.jobs_by_name["a"]._job_by_id[JOB]

    def fail(self: LocalJob, now: float) -> None:
        raise ValueError("an unexpected error")

    with mock.patch.object(LocalJob, "_start_samples", fail):
        assert wait_until(lambda: local.stopped, FAILS_WITHIN_S)


@when("the store has a job of a without its contents")
def store_head(context: Any) -> None:
    memory = context.memory
    stored = memory.jobs_by_name["a"]._job_by_id[JOB].stored
    # Its head is read before that of the other job.
    memory.store.write(f"{HEAD_PREFIX}a-{JOB}", stored.head)


@then("only c runs the job")
def check_runs_at_c(context: Any) -> None:
    running = [
        name
        for name, jobs in context.memory.jobs_by_name.items()
        if (local := jobs._job_by_id.get(JOB)) and not local.stopped
    ]
    assert running == ["c"], running


@given('a stored job of "{holder}" in term "{term}" that is {state}')
def store_job(context: Any, holder: str, term: str, state: str) -> None:
    context.stored_job = StoredJob(
        JOB, holder, term, state == "unfinished", 0.0
    )


@then('"{names}" is told that it holds the job')
@then('"" is told that it holds the job')
def check_confirmed(context: Any, names: str = "") -> None:
    members = {"a": LiveInstance("a", "1", "a/1", "dc")}
    jobs = recovery.assigned_jobs([context.stored_job], members)
    assert jobs == ({names: [JOB]} if names else {}), jobs
