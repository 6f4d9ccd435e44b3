"""Steps on batch jobs while the store and engines fail."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from unittest import mock

from behave import given, then, when

from features.platform_fakes import SERVICE, MemoryFleet, job_contents
from hibiscuspin.clock import monotonic
from hibiscuspin.decisions import job_order
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.tasks import job_writer
from hibiscuspin.tasks.job_recovery import JobRecovery
from hibiscuspin.tasks.job_store import ItemResult, JobStore
from hibiscuspin.tasks.local_job import LocalJob

JOB = "j1"
DEADLINE_S = 15.0
SETTLE_S = 0.2


def wait_until(check: Callable[[], bool], limit_s: float) -> bool:
    ends_at = monotonic() + limit_s
    while monotonic() < ends_at:
        if check():
            return True
        time.sleep(0.01)
    return check()


def results(context: Any, name: str, after: int = 0) -> list[ItemResult]:
    jobs = context.memory.jobs_by_name[name]
    rows: list[ItemResult] = []
    while True:
        page = jobs.results(JOB, after + len(rows), 0.0).results
        if not page:
            return rows
        rows += page


def start_memory_fleet(
    context: Any, engines: int, slots: int, scorers: int
) -> None:
    context.memory = MemoryFleet(engines, slots, scorers)
    context.recoveries = {}
    context.add_cleanup(context.memory.close)
    for name in "abc":
        context.memory.start(name)


@given("instances a, b and c before {count:d} engines of {slots:d} places")
def start_fleet(context: Any, count: int, slots: int) -> None:
    start_memory_fleet(context, count, slots, 0)


@when(
    "{name} accepts a job of {groups:d} groups of {size:d} samples with "
    "{events:d} events"
)
def accept(
    context: Any, name: str, groups: int, size: int, events: int
) -> None:
    accept_from(context, name, groups, size, events, 1)


@when(
    "{name} accepts a job of {groups:d} groups of {size:d} samples with "
    "{events:d} events from version {oldest:d}"
)
def accept_from(
    context: Any, name: str, groups: int, size: int, events: int, oldest: int
) -> None:
    memory = context.memory
    context.job = job_contents(JOB, groups, size, events, oldest)
    jobs = memory.jobs_by_name[name]
    jobs.submit(context.job, memory.route, monotonic() + DEADLINE_S)


@when("{name} accepts the same job")
def accept_again(context: Any, name: str) -> None:
    memory = context.memory
    jobs = memory.jobs_by_name[name]
    jobs.submit(context.job, memory.route, monotonic() + DEADLINE_S)


@when("a is sent a job with {left:g} s to live")
def send_job(context: Any, left: float) -> None:
    memory = context.memory
    context.job = job_contents(JOB, 1, 2, 5)
    context.refusal = None
    try:
        memory.jobs_by_name["a"].submit(
            context.job, memory.route, monotonic() + left
        )
    except HibiscusError as error:
        context.refusal = error


@then('it is refused with "{code}"')
def check_refusal(context: Any, code: str) -> None:
    assert context.refusal is not None
    assert str(context.refusal.kind) == code, context.refusal


@then("no engine ran anything")
def check_nothing_ran(context: Any) -> None:
    time.sleep(SETTLE_S)
    targets = context.memory.target_by_name.values()
    assert not any(target.runs for target in targets)


@given("the store is down")
def take_store_down(context: Any) -> None:
    context.memory.store.down = True


@given("the next {count:d} commits take effect without an answer")
@when("each of the next {count:d} commits takes effect without an answer")
def lose_replies(context: Any, count: int) -> None:
    context.memory.store.replies_to_lose = count


@given("all commits are lost before their effect")
def delay_all_commits(context: Any) -> None:
    context.memory.store.commits_to_delay = 1_000


@when("each of the next {count:d} commits is lost before its effect")
def delay_commits(context: Any, count: int) -> None:
    context.memory.store.commits_to_delay = count


@when("the lost commits take effect")
def apply_delayed_commits(context: Any) -> None:
    context.memory.store.commits_to_delay = 0
    context.memory.store.apply_delayed()


@then("b reads that the job exists")
def check_exists(context: Any) -> None:
    jobs = context.memory.jobs_by_name["b"]
    assert jobs.results(JOB, 0, 0.0).total == len(context.job.items)


def wait_for_results(
    context: Any, limit_s: float = DEADLINE_S
) -> list[ItemResult]:
    instance = next(iter(context.memory.jobs_by_name))
    total = len(context.job.items)
    wait_until(lambda: len(results(context, instance)) == total, limit_s)
    rows = results(context, instance)
    assert len(rows) == total, f"{len(rows)} of {total} results"
    names = [row.name for row in rows]
    assert sorted(names) == sorted(i.name for i in context.job.items), names
    return rows


def check_complete(context: Any, rows: list[ItemResult]) -> None:
    events = int(context.job.items[0].body)
    for row in rows:
        lines = [f"{row.name}-{n}" for n in range(1, events + 1)]
        assert row.done and row.text == "\n".join(lines), row


@then(
    "all results of the job are listed with whole texts of version {version:d}"
)
def check_results(context: Any, version: int) -> None:
    rows = wait_for_results(context)
    check_complete(context, rows)
    assert all(row.versions == (version,) for row in rows), rows


@then("all results of the job are listed within {limit:g} s")
def check_in_time(context: Any, limit: float) -> None:
    check_complete(context, wait_for_results(context, limit))


@then("all results of the job are listed as given up")
def check_given_up(context: Any) -> None:
    rows = wait_for_results(context)
    assert not any(row.done or row.text for row in rows), rows


@then("the results of the job are all listed, some as given up")
def check_some_given_up(context: Any) -> None:
    rows = wait_for_results(context)
    assert any(not row.done for row in rows)
    check_complete(context, [row for row in rows if row.done])


@then("each sample ran {count:d} times")
def check_runs(context: Any, count: int) -> None:
    for item in context.job.items:
        runs = [
            after
            for target in context.memory.target_by_name.values()
            for after in target.runs.get(item.name, ())
        ]
        assert len(runs) == count, (item.name, runs)


@then("every instance reads the same results from every position")
def check_same(context: Any) -> None:
    names = list(context.memory.jobs_by_name)
    rows = results(context, names[0])
    assert rows
    for name in names:
        for after in range(len(rows) + 1):
            found = results(context, name, after)
            assert found == rows[after:], (name, after)


@then("only a holds the job")
def check_holder(context: Any) -> None:
    holds_job = {
        name: JOB in jobs._job_by_id
        for name, jobs in context.memory.jobs_by_name.items()
    }
    assert holds_job == {"a": True, "b": False, "c": False}, holds_job


@given("samples that are saved at once")
def save_early(context: Any) -> None:
    for target, name, value in (
        (job_order, "SAVE_PERIOD_S", 0.05),
        (job_order, "MIN_SAVE_EVENTS", 1),
        (job_order, "MAX_UNSAVED_TEXT_S", 0.0),
        (job_writer, "MIN_SAVED_EVENTS", 1),
    ):
        patch = mock.patch.object(target, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@when("results of the job are read while it runs for {seconds:g} s")
def read_some(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    context.results_before = results(context, "c")


@when("a is lost and b takes the job over")
def lose_holder(context: Any) -> None:
    context.memory.kill("a")
    assert context.memory.jobs_by_name["b"].adopt(JOB)


@then("what was read before has kept its positions")
def check_kept(context: Any) -> None:
    rows = results(context, "c")
    count = len(context.results_before)
    assert rows[:count] == context.results_before


@then("samples went on from saved events")
def check_resumed(context: Any) -> None:
    resumed = [
        after
        for target in context.memory.target_by_name.values()
        for runs in target.runs.values()
        for after in runs
        if after
    ]
    assert len(resumed) >= len(context.job.items) / 2, resumed


@when("a is cut from the store and b takes the job over")
def cut_holder(context: Any) -> None:
    time.sleep(SETTLE_S)
    context.memory.connection_by_name["a"].cut = True
    context.old_job = context.memory.jobs_by_name["a"]._job_by_id[JOB]
    assert context.memory.jobs_by_name["b"].adopt(JOB)


@when("a reaches the store again")
def heal_holder(context: Any) -> None:
    time.sleep(SETTLE_S)
    context.memory.connection_by_name["a"].cut = False


@then("a holds the job no more")
def check_fenced(context: Any) -> None:
    assert wait_until(lambda: context.old_job.stopped, 3.0)
    is_held_by = context.memory.jobs_by_name["a"].is_held_by
    member = context.memory.members["a"]
    assert not is_held_by(member, JOB)


@when("a stops after {seconds:g} s")
def stop_holder(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    context.memory.jobs_by_name["a"].hand_over()
    del context.memory.members["a"]
    context.memory.jobs_by_name.pop("a").stop()


@when("{name} ends the job")
def end_job(context: Any, name: str) -> None:
    context.memory.jobs_by_name[name].end(JOB)


@when("a does not answer other instances")
def silence_holder(context: Any) -> None:
    address = context.memory.members["a"].address
    context.memory.peers.unreachable_addresses.add(address)


@then("no engine is at work within {limit:g} s")
def check_idle(context: Any, limit: float) -> None:
    targets = context.memory.target_by_name.values()
    for wait_s in (limit, SETTLE_S):
        time.sleep(wait_s)
        assert not any(target.running_count for target in targets)


@given('engine {name} has the fault "{fault}"')
def set_fault(context: Any, name: str, fault: str) -> None:
    context.memory.target_by_name[name].fault = fault


@given("engine {name} serves version {version:d}")
def set_version(context: Any, name: str, version: int) -> None:
    context.memory.target_by_name[name].version = version
    context.memory.refresh_targets()


@given("engine {name} makes events {factor:d} times slower")
def set_slow(context: Any, name: str, factor: int) -> None:
    context.memory.target_by_name[name].event_s *= factor


@then("{name} ran nothing")
def check_unused(context: Any, name: str) -> None:
    assert not context.memory.target_by_name[name].runs


@when("b clears engine t0 for a load of {model} after {seconds:g} s")
def clear(context: Any, model: str, seconds: float) -> None:
    time.sleep(seconds)
    assert context.memory.target_by_name["t0"].running_count
    context.memory.exchange_by_name["b"].clear_samples(["t0"], model, 30.0)


@then("{name} is not at work")
def check_not_running(context: Any, name: str) -> None:
    assert not context.memory.target_by_name[name].running_count


@then("{name} is still at work")
def check_still_running(context: Any, name: str) -> None:
    assert context.memory.target_by_name[name].running_count


@when("its route is removed")
def remove_route(context: Any) -> None:
    context.memory.route = None


@when("the job is deleted")
def delete_job(context: Any) -> None:
    jobs = context.memory.jobs_by_name["a"]
    jobs._store.delete(JOB, monotonic() + DEADLINE_S)


@then("the store holds nothing of the job")
def check_deleted(context: Any) -> None:
    rows = context.memory.store.scan("", 0.0).values
    assert not [row.key for row in rows if JOB in row.key]


def in_flight_elsewhere(context: Any) -> int:
    views = context.memory.discovered_by_name["b"].views(SERVICE)
    return sum(view.in_flight_elsewhere for view in views)


@when("a and b tell each other their loads")
def exchange_loads(context: Any) -> None:
    exchange = context.memory.exchange_by_name["b"]
    targets = context.memory.discovered_by_name["a"]
    assert wait_until(
        lambda: sum(targets.in_flight_by_name().values()) == 8, 2.0
    )
    assert exchange.exchange_load(context.memory.members["a"])


@then("b counts the {count:d} samples of a as open elsewhere")
def check_elsewhere(context: Any, count: int) -> None:
    assert in_flight_elsewhere(context) == count


@then("that is forgotten after {seconds:g} s")
def check_forgotten(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    assert in_flight_elsewhere(context) == 0


@when("the registration of a ends while it lives")
def end_registration(context: Any) -> None:
    memory = context.memory
    memory.departed["a"] = memory.members.pop("a")


@when("a is lost")
def lose_instance(context: Any) -> None:
    memory = context.memory
    memory.departed["a"] = memory.members["a"]
    memory.kill("a")


@when("c and {count:d} others are lost but still registered")
def lose_registered(context: Any, count: int) -> None:
    memory = context.memory
    registered = memory.members["c"]
    memory.kill("c")
    memory.members["c"] = registered
    for number in range(count):
        name = f"lost-{number}"
        memory.members[name] = LiveInstance(name, "1", f"{name}/1", "dc")


@when("the coordinator at {name} sweeps")
def sweep(context: Any, name: str) -> None:
    memory = context.memory
    clock = memory.clock
    store: Any = memory.connection_by_name[name]
    instances: Any = memory.instances_by_name[name]
    if name not in context.recoveries:
        context.recoveries[name] = JobRecovery(
            instances,
            memory.jobs_by_name[name],
            JobStore(store, clock),
            clock,
            120.0,
        )
    context.recoveries[name].sweep()


@when("a is lost, and no instance has seen it before")
def lose_unseen(context: Any) -> None:
    context.memory.kill("a")


@when("a starts again and takes its jobs back")
def restart(context: Any) -> None:
    jobs = context.memory.start("a", "2")
    for job in jobs.own_unfinished():
        assert jobs.adopt(job)


@when("{seconds:g} s pass")
def pass_time(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@then("no instance holds the job")
def check_unheld(context: Any) -> None:
    for jobs in context.memory.jobs_by_name.values():
        assert JOB not in jobs._job_by_id


@when("b reads results and bodies of the job {times:d} times")
def read_often(context: Any, times: int) -> None:
    jobs = context.memory.jobs_by_name["b"]
    item = context.job.items[-1]
    for _ in range(times):
        jobs.results(JOB, 0, 0.0)
        assert jobs.item_body(JOB, item.name) == item.body


@then("b has read the store once")
def check_calls(context: Any) -> None:
    assert context.memory.connection_by_name["b"].call_count == 1


@then("b reads the job from its new holder")
def check_new_holder(context: Any) -> None:
    read_often(context, 1)
    calls = context.memory.connection_by_name["b"].call_count
    read_often(context, 3)
    assert context.memory.connection_by_name["b"].call_count == calls


@then("b finds no body of the job")
def check_no_body(context: Any) -> None:
    try:
        context.memory.jobs_by_name["b"].item_body(
            JOB, context.job.items[-1].name
        )
    except HibiscusError as error:
        assert error.kind is ErrorKind.NOT_FOUND, error
    else:
        raise AssertionError("an ended job still has a body")


@when("the store fails as soon as b has taken the job")
def fail_takeover(context: Any) -> None:
    memory = context.memory
    store = memory.store
    commit = store.commit

    def commit_and_fail(*args: Any) -> Any:
        outcome = commit(*args)
        store.down = True
        return outcome

    with mock.patch.object(store, "commit", commit_and_fail):
        try:
            memory.jobs_by_name["b"].adopt(JOB)
        except StoreError:
            store.down = False
            return
    raise AssertionError("the takeover did not fail")


@when("b finishes its takeovers")
def finish_takeovers(context: Any) -> None:
    context.memory.jobs_by_name["b"].finish_takeovers()


@then("only b holds the job")
def check_holder_is_b(context: Any) -> None:
    holders = [
        name
        for name, jobs in context.memory.jobs_by_name.items()
        if JOB in jobs._job_by_id
    ]
    assert holders == ["b"], holders


@when("b is asked to take the job over without a route")
def adopt_without_route(context: Any) -> None:
    memory = context.memory
    context.known_route, memory.route = memory.route, None
    assert not memory.jobs_by_name["b"].adopt(JOB)
    head = memory.jobs_by_name["b"]._store.head(JOB, monotonic() + 1.0)
    assert head is not None and head.head["holder"] == "a", head


@when("its route is known")
def restore_route(context: Any) -> None:
    context.memory.route = context.known_route


@when(
    "b takes the job over {count:d} times at once from a store that takes "
    "{seconds:g} s"
)
def take_over_at_once(context: Any, count: int, seconds: float) -> None:
    memory = context.memory
    jobs, store = memory.jobs_by_name["b"], memory.store
    scan = store.scan
    context.started_jobs = []

    def slow_scan(*args: Any) -> Any:
        time.sleep(seconds)
        return scan(*args)

    def start(job: LocalJob) -> None:
        context.started_jobs.append(job)
        start_job(job)

    start_job = jobs._start
    with (
        mock.patch.object(store, "scan", slow_scan),
        mock.patch.object(jobs, "_start", start),
        ThreadPoolExecutor(count) as executor,
    ):
        futures = [executor.submit(jobs.adopt, JOB) for _ in range(count)]
        for _ in range(5):
            time.sleep(seconds / 2)
            jobs.finish_takeovers()
        assert all(future.result() for future in futures)


@then("b has started the job once")
def check_started_once(context: Any) -> None:
    assert len(context.started_jobs) == 1, context.started_jobs
