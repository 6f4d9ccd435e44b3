"""Steps on which instance holds a job first."""

import contextlib
import math
import threading
from typing import Any

from behave import given, then, when

from features.platform_fakes import MODEL, job_contents
from features.steps.platform_jobs_steps import wait_until
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions import holders
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.errors import HibiscusError

RESULTS_S = 5.0
LONG_STEP_EVENTS = 500


def preferred(context: Any) -> str:
    instances = context.memory.instances_by_name["a"]
    member = holders.preferred_holder(
        MODEL, instances.member, instances.others(), ()
    )
    return member.name


def other(context: Any) -> str:
    return next(name for name in "abc" if name != preferred(context))


def send(context: Any, name: str, job: str, events: int = 5) -> None:
    memory = context.memory
    memory.jobs_by_name[name].submit(
        job_contents(job, 1, 2, events), memory.route, monotonic() + 0.5
    )


def held_by(context: Any, name: str) -> list[str]:
    jobs = context.memory.jobs_by_name[name]
    return [local.contents.job for local in jobs._job_by_id.values()]


@when("a, b and c are sent steps of one model in turn")
def send_in_turn(context: Any) -> None:
    for name in "abc":
        send(context, name, f"step-{name}")


@then("the preferred instance holds all {count:d} steps")
def check_all(context: Any, count: int) -> None:
    assert len(held_by(context, preferred(context))) == count


@then("each instance reads the results of each step")
def check_results(context: Any) -> None:
    for name in "abc":
        jobs = context.memory.jobs_by_name[name]
        for step in "abc":

            def complete(jobs: Any = jobs, job: str = f"step-{step}") -> bool:
                return len(jobs.results(job, 0, 0.0).results) == 2

            assert wait_until(complete, RESULTS_S), (name, step)


@given("the preferred instance does not respond")
def silence(context: Any) -> None:
    memory = context.memory
    address = memory.members[preferred(context)].address
    memory.peers.unreachable_addresses.add(address)


@given("the preferred instance is stopping")
def stop(context: Any) -> None:
    context.memory.jobs_by_name[preferred(context)]._stopping = True


@given("the answers of the preferred instance are {answers}")
def lose_answers(context: Any, answers: str) -> None:
    memory = context.memory
    if answers == "lost":
        address = memory.members[preferred(context)].address
        memory.peers.answerless_addresses.add(address)


@given("the other instances are {state}")
def limit_others(context: Any, state: str) -> None:
    for name in "abc":
        jobs = context.memory.jobs_by_name[name]
        if name != preferred(context):
            jobs._stopping = state == "stopping"
            jobs._max_held_bytes = 0 if state == "full" else math.inf


@when("the preferred instance is sent the step with {seconds:g} s to live")
def send_preferred(context: Any, seconds: float) -> None:
    memory = context.memory
    jobs = memory.jobs_by_name[preferred(context)]

    def submit() -> None:
        with contextlib.suppress(HibiscusError):
            jobs.submit(
                job_contents("step", 1, 2, 5),
                memory.route,
                monotonic() + seconds,
            )

    thread = threading.Thread(target=submit)
    thread.start()
    context.add_cleanup(thread.join)
    assert wait_until(lambda: memory.store.delayed_commits, RESULTS_S)


@when("the store is down from then on")
def take_down(context: Any) -> None:
    context.memory.store.down = True


@when("another instance is sent a step")
def send_other(context: Any) -> None:
    context.refusal = None
    started_at = monotonic()
    try:
        send(context, other(context), "step")
    except HibiscusError as error:
        context.refusal = error
    context.took_s = monotonic() - started_at


@given("a store whose commits take {seconds:g} s")
def slow_store(context: Any, seconds: float) -> None:
    context.memory.store.commit_s = seconds


@when("another instance is sent a step with {seconds:g} s to live")
def send_with_time(context: Any, seconds: float) -> None:
    memory = context.memory
    memory.jobs_by_name[other(context)].submit(
        job_contents("step", 1, 2, 5), memory.route, monotonic() + seconds
    )


@when(
    "another instance is sent a step with {seconds:g} s to live, and the store "
    "is back after {back:g} s"
)
def send_in_outage(context: Any, seconds: float, back: float) -> None:
    store = context.memory.store
    timer = threading.Timer(back, setattr, (store, "down", False))
    timer.start()
    context.add_cleanup(timer.join)
    context.refusal = None
    started_at = monotonic()
    send_with_time(context, seconds)
    context.took_s = monotonic() - started_at


@then("exactly one instance holds the step")
def check_one_holder(context: Any) -> None:
    def held() -> bool:
        return sorted(held_by(context, n) for n in "abc") == [[], [], ["step"]]

    assert wait_until(held, RESULTS_S)


@then("each instance reads its results")
def check_step_results(context: Any) -> None:
    for name in "abc":
        jobs = context.memory.jobs_by_name[name]

        def complete(jobs: Any = jobs) -> bool:
            return len(jobs.results("step", 0, 0.0).results) == 2

        assert wait_until(complete, RESULTS_S), name


@when("another instance is sent {count:d} steps")
def send_many(context: Any, count: int) -> None:
    for number in range(count):
        name = other(context)
        send(context, name, f"step-{number}", LONG_STEP_EVENTS)


@then("it holds the step itself within {limit:g} s")
def check_own(context: Any, limit: float) -> None:
    assert context.refusal is None and context.took_s < limit
    assert held_by(context, other(context)) == ["step"]
    assert not held_by(context, preferred(context))


@then("the preferred instance holds {many:d} steps and the other one {few:d}")
def check_split(context: Any, many: int, few: int) -> None:
    assert len(held_by(context, preferred(context))) == many
    assert len(held_by(context, other(context))) == few


@then("the preferred instance holds the step, and nobody else does")
def check_once(context: Any) -> None:
    assert context.refusal is None, context.refusal
    for name in "abc":
        expected = ["step"] if name == preferred(context) else []
        assert held_by(context, name) == expected, name


@then('the step is refused with "{code}"')
def check_refused(context: Any, code: str) -> None:
    assert context.refusal is not None
    assert str(context.refusal.kind) == code, context.refusal
    assert not any(held_by(context, name) for name in "abc")


@then(
    'of the instances "{texts}" in the data centre "{data_centre}" with '
    'suspects "{suspects}" one of "{near}" is preferred, the same for each'
)
def check_preferred(
    context: Any, texts: str, data_centre: str, suspects: str, near: str
) -> None:
    members = []
    for text in texts.split():
        name, _, place = text.partition(":")
        members.append(LiveInstance(name, "1", f"{name}:1", place))
    suspected = suspects.replace("none", "").split()
    chosen = {
        holders.preferred_holder(
            MODEL, own, [m for m in members if m != own], suspected
        ).name
        for own in members
        if own.data_centre == data_centre and own.name not in suspected
    }
    assert len(chosen) == 1 and chosen <= set(near.split()), chosen
