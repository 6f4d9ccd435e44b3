"""Steps on the decision functions of forwarding, jobs and weights."""

import heapq
from collections import Counter
from typing import Any, NamedTuple

from behave import given, then, when

from hibiscuspin.decisions import (
    attempts,
    job_order,
    placement,
    queueing,
    readers,
    recovery,
    relays,
    routes,
    samples,
    store_paths,
    weight_orders,
)
from hibiscuspin.decisions.job_order import SampleSize
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.recovery import LiveInstance, StoredJob
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.decisions.software import Software

SLOTS = 8
REPLAY_S = 30.0
REPLAY_TICK_S = 0.04
YES_NO = {"yes": True, "no": False}
SOFTWARE = Software("llm", "v1")


def route(prefix: str, service: str) -> ForwardRoute:
    return ForwardRoute(
        name=service,
        host="h",
        prefix=prefix,
        kind=CallKind.REPEATABLE,
        weight_by_service={service: 1.0},
        timeout_s=1.0,
        objective_s=0.2,
        max_attempts=2,
    )


@given('forward routes "/a/" to one, "/a/b/" to two and "/c/" to three')
def set_routes(context: Any) -> None:
    rows = [route("/a/", "one"), route("/a/b/", "two"), route("/c/", "three")]
    limits = routes.ClientLimits(1, 1, 1.0, 1.0)
    by_host = routes.sorted_routes(rows)
    context.route_table = routes.RouteTable(1, by_host, limits, {})


@when('the route of "{path}" on host "{host}" is looked up')
def look_up(context: Any, path: str, host: str) -> None:
    context.found = routes.find_route(context.route_table, host, path)


@then('the forward route is "{service}"')
def check_route(context: Any, service: str) -> None:
    name = context.found.name if context.found else "none"
    assert name == service, name


@given(
    "a call that is {kind} with {running:d} running and {ran:d} that may "
    "have run"
)
def set_progress(context: Any, kind: str, running: int, ran: int) -> None:
    context.progress = attempts.CallProgress(
        kind == "repeatable", 2, running, ran, 0.1, 1.0
    )


@given("{free:d} places are free and the answer takes {answer:g} s")
def set_load(context: Any, free: int, answer: float) -> None:
    context.load = queueing.ServiceLoad(free, 6, 0, answer)


@when(
    "it is {now:g} s old with a hedge at {hedge:g} s and a deadline at "
    "{deadline:g} s"
)
def decide_action(
    context: Any, now: float, hedge: float, deadline: float
) -> None:
    progress = context.progress._replace(hedge_at=hedge, deadline=deadline)
    context.action = attempts.next_action(progress, context.load, now)


@then("the call's next step is {kind}")
def check_step(context: Any, kind: str) -> None:
    assert context.action.kind.name == kind, context.action


@given("a service of {slots:d} places whose answers take {answer:g} s")
def set_service(context: Any, slots: int, answer: float) -> None:
    context.service = (slots, answer)


@when("{count:d} calls with {left:g} s to live arrive at once")
def burst(context: Any, count: int, left: float) -> None:
    slots, answer = context.service
    free, ahead = slots, 0
    context.decisions = []
    for _ in range(count):
        load = queueing.ServiceLoad(free, slots, ahead, answer)
        decision = queueing.decide(load, 0.0, left)
        context.decisions.append(decision)
        free -= decision.action is queueing.QueueAction.START
        ahead += decision.action is queueing.QueueAction.WAIT


@then(
    "{count:d} calls start, the rest that fit wait and all others are "
    "rejected at once"
)
def check_burst(context: Any, count: int) -> None:
    slots, answer = context.service
    count_by_action = Counter(decision.action for decision in context.decisions)
    assert count_by_action[queueing.QueueAction.START] == count, count_by_action
    waiting = count_by_action[queueing.QueueAction.WAIT]
    # All waiting calls end in time; with one more, the last would not.
    assert (waiting / slots + 1) * answer <= 2.5 + 1e-9, count_by_action
    assert ((waiting + 1) / slots + 1) * answer > 2.5, count_by_action
    assert count_by_action[queueing.QueueAction.REJECT] == 100 - count - waiting


@then("each rejected call gets a time to come back between {a:g} and {b:g} s")
def check_retry(context: Any, a: float, b: float) -> None:
    rejected = [
        decision.retry_after_s
        for decision in context.decisions
        if decision.action is queueing.QueueAction.REJECT
    ]
    assert rejected and all(a <= retry <= b for retry in rejected), rejected


def parse_target_view(text: str) -> TargetView:
    name, _, fields = text.partition(":")
    base = TargetView(name, 6, answer_s=0.05, event_s=0.04)
    pairs = (pair.split("=") for pair in fields.split(",") if pair)
    types = TargetView.__annotations__
    values: dict[str, Any] = {
        key: int(value) if types[key] is int else float(value)
        for key, value in pairs
    }
    return base._replace(**values)


@given('targets "{texts}"')
def set_targets(context: Any, texts: str) -> None:
    context.views = [parse_target_view(text) for text in texts.split()]


@when('a call is placed that has tried "{tried}"')
def place_call(context: Any, tried: str) -> None:
    context.chosen = placement.place_call(context.views, tried.split(), 1.0)


@when('a call is placed that has tried ""')
def place_first_call(context: Any) -> None:
    place_call(context, "")


@then('the call goes to "{name}"')
@then('the sample goes to "{name}"')
def check_chosen(context: Any, name: str) -> None:
    chosen = context.chosen.name if context.chosen else "none"
    assert chosen == name, chosen


@when(
    "a sample of {events:d} events from version {version:d} with home "
    '"{home}" is placed'
)
def place_sample(context: Any, events: int, version: int, home: str) -> None:
    requirements = placement.SampleRequirements(version, events, home)
    context.chosen = placement.place_sample(context.views, requirements, 1.0)


@when(
    "a sample of {events:d} events from version {version:d} with home "
    '"" is placed'
)
def place_without_preferred(context: Any, events: int, version: int) -> None:
    place_sample(context, events, version, "")


class WaitingSample(NamedTuple):
    """A started sample of the replay: when it ran, and where."""

    started_at: float
    target: str


@given(
    "{count:d} samples with {generated:d} of {total:d} events, and 1 engine of "
    "{engines:d} that can continue them"
)
def set_started_samples(
    context: Any, count: int, generated: int, total: int, engines: int
) -> None:
    context.sample_count = count
    context.generated, context.left = generated, total - generated
    context.software_by_engine = {
        f"e{number}": Software("llm", "v2" if number else "v1")
        for number in range(engines)
    }


@when("engines of {slots:d} places take {pace:g} s for an event")
def replay_started_samples(context: Any, slots: int, pace: float) -> None:
    context.slots = slots
    ends_by_engine: dict[str, list[float]] = {
        name: [] for name in context.software_by_engine
    }
    placed: list[WaitingSample] = []
    for tick in range(int(REPLAY_S / REPLAY_TICK_S)):
        now = tick * REPLAY_TICK_S
        requirements = placement.SampleRequirements(
            1,
            context.left,
            generated=context.generated,
            begun_by=Software("llm", "v1"),
            may_begin_anew=now >= placement.CONTINUATION_WAIT_S,
        )
        for _ in range(context.sample_count - len(placed)):
            views = [
                TargetView(
                    name,
                    slots,
                    in_flight_here=sum(end > now for end in ends),
                    event_s=pace,
                    version=1,
                    software=context.software_by_engine[name],
                )
                for name, ends in ends_by_engine.items()
            ]
            view = placement.place_sample(views, requirements, now)
            if view is None:
                break
            events = requirements.events_at(view)
            ends_by_engine[view.name].append(now + events * pace)
            placed.append(WaitingSample(now, view.name))
    context.placed = placed


@then("no sample waits longer than {limit:g} s while an engine has room")
def check_waits(context: Any, limit: float) -> None:
    assert len(context.placed) == context.sample_count, len(context.placed)
    longest_s = max(sample.started_at for sample in context.placed)
    assert longest_s <= limit, longest_s


@then("at least {count:d} samples go on from their events")
def check_continued(context: Any, count: int) -> None:
    continued = [sample for sample in context.placed if sample.target == "e0"]
    assert len(continued) >= count, len(continued)


@given('samples of "{texts}"')
def set_samples(context: Any, texts: str) -> None:
    context.sizes = []
    for text in texts.split():
        group, _, sizes = text.partition(":")
        for size in sizes.split(","):
            index = len(context.sizes)
            context.sizes.append(SampleSize(index, group, float(size)))


@when("{rate:d} events a second are made and {left:d} s are left")
def order_samples(context: Any, rate: int, left: int) -> None:
    context.order = job_order.start_order(context.sizes, rate, left)


@then('the samples start in the order "{sizes}"')
def check_order(context: Any, sizes: str) -> None:
    events_by_index = {row.sample_index: row.events for row in context.sizes}
    found = " ".join(f"{events_by_index[index]:g}" for index in context.order)
    assert found == sizes, found


@given("12 groups of 8 samples with one long sample in every second group")
def set_groups(context: Any) -> None:
    context.sizes = [
        SampleSize(
            group * 8 + item,
            f"g{group:02d}",
            120.0 if item == 0 and group % 2 else 20.0,
        )
        for group in range(12)
        for item in range(8)
    ]


def groups_in_time(
    sizes: list[SampleSize], order: list[int], slots: int, limit_s: float
) -> int:
    """Runs samples in order; counts the groups complete by `limit_s`."""
    row_by_index = {row.sample_index: row for row in sizes}
    free_at = [0.0] * slots
    end_by_group: dict[str, float] = {}
    for index in order:
        row = row_by_index[index]
        end = heapq.heappop(free_at) + row.events * 0.04
        heapq.heappush(free_at, end)
        latest_end = end_by_group.get(row.group, 0.0)
        end_by_group[row.group] = max(latest_end, end)
    return sum(end <= limit_s for end in end_by_group.values())


@when("an engine of {places:d} places has {left:d} s for them")
def compare_orders(context: Any, places: int, left: int) -> None:
    rate = places / 0.04
    chosen = job_order.start_order(context.sizes, rate, left)
    longest = sorted(
        context.sizes, key=lambda row: (-row.events, row.sample_index)
    )
    context.groups = (
        groups_in_time(context.sizes, chosen, places, left),
        groups_in_time(
            context.sizes, [row.sample_index for row in longest], places, left
        ),
    )


@then(
    "the chosen order completes at least {more:d} groups more than longest "
    "first"
)
def check_groups(context: Any, more: int) -> None:
    chosen, longest = context.groups
    assert chosen >= longest + more, context.groups


@given("{count:d} finished results that wait since {since:g}, {part} the step")
def set_unpublished(context: Any, count: int, since: float, part: str) -> None:
    context.unpublished = job_order.UnpublishedResults(
        result_count=count,
        size_bytes=count * 8_000,
        oldest_at=since,
        completes_group=part != "a part of",
        completes_step=part == "the last wanted of",
        step_completed=part in ("a group after", "the end of"),
        last=part == "the end of",
    )


@when(
    "it is {now:g} with the last listing at {listed:g} and the due moment "
    "at {due:g}"
)
def decide_publication(
    context: Any, now: float, listed: float, due: float
) -> None:
    context.due = job_order.publish_due(context.unpublished, listed, due, now)


@then("listing is due: {due}")
def check_due(context: Any, due: str) -> None:
    assert context.due is YES_NO[due], context.due


@when(
    "a run of a sample ends with {end} after {errors:d} errors of "
    "{most:d} attempts"
)
def end_run(context: Any, end: str, errors: int, most: int) -> None:
    context.next = samples.after_run(samples.RunOutcome[end], errors, most)


@then("the sample's next step is {name}")
def check_next(context: Any, name: str) -> None:
    assert context.next.name == name, context.next


@given("events made by versions {versions}")
def set_generated(context: Any, versions: str) -> None:
    context.generated = [
        samples.SampleEvent(number + 1, "x", int(version), SOFTWARE)
        for number, version in enumerate(versions.split(","))
    ]


@when(
    "a run under version {version:d} begins that allows {oldest:d} and "
    "newer, single: {single}"
)
def start_run(context: Any, version: int, oldest: int, single: str) -> None:
    context.kept_events = samples.reusable_events(
        context.generated, oldest, version, YES_NO[single], SOFTWARE
    )


@then("{count:d} events are kept")
def check_kept(context: Any, count: int) -> None:
    assert len(context.kept_events) == count, context.kept_events


@given('running samples "{texts}"')
def set_running(context: Any, texts: str) -> None:
    context.running = []
    for text in texts.split():
        index, _, fields = text.partition(":")
        remaining, event_s = map(float, fields.split(","))
        context.running.append(
            samples.RunningSample(int(index), remaining, event_s)
        )


@when("engines with a pace of {pace:g} s have {places:d} free places")
def find_stragglers(context: Any, pace: float, places: int) -> None:
    context.moved = samples.samples_to_move(context.running, pace, places)


@then('samples "{places}" move')
def check_moved(context: Any, places: str) -> None:
    assert context.moved == [int(p) for p in places.split()], context.moved


@given('engines "{texts}"')
def set_engines(context: Any, texts: str) -> None:
    context.engines = []
    for text in texts.split():
        name, _, fields = text.partition(":")
        version, busy = map(int, fields.split(","))
        engine = weight_orders.EngineView(name, version, busy, SLOTS)
        context.engines.append(engine)


def next_loads(
    engines: list[weight_orders.EngineView],
    desired_version: int,
    loading: str,
    announced_ago_s: float,
) -> list[str]:
    desired = weight_orders.DesiredVersion(
        "m", desired_version, 10.0 - announced_ago_s
    )
    names = {engine.name for engine in engines} & set(loading.split())
    loading_by_engine = dict.fromkeys(names, "m")
    max_loads = weight_orders.max_concurrent_loads(len(engines)) - len(names)
    return weight_orders.engines_to_load(
        desired, engines, loading_by_engine, max_loads, 10.0
    )


@when('version {wanted:d} is wanted and "{loading}" loads')
def choose_engines(context: Any, wanted: int, loading: str) -> None:
    context.loads = next_loads(context.engines, wanted, loading, 5.0)


@then('the engines "{names}" load next')
def check_loads(context: Any, names: str) -> None:
    assert context.loads == names.split(), context.loads


@then("of {engines:d} engines {loads:d} load at once")
def check_at_once(context: Any, engines: int, loads: int) -> None:
    assert weight_orders.max_concurrent_loads(engines) == loads


@given('members "{texts}"')
def set_members(context: Any, texts: str) -> None:
    context.members = {}
    for text in texts.split():
        name, _, term = text.partition("/")
        context.members[name] = LiveInstance(name, term, "", "dc")


@given('held jobs "{texts}"')
def set_jobs(context: Any, texts: str) -> None:
    context.held_jobs = []
    for text in texts.split():
        job, holder, *closed = text.split(":")
        name, _, term = holder.partition("/")
        context.held_jobs.append(StoredJob(job, name, term, not closed, 0.0))


@then('the orphans are "{names}"')
def check_orphans(context: Any, names: str) -> None:
    found = recovery.orphaned_jobs(context.held_jobs, context.members)
    assert [job.job for job in found] == names.split(), found


@when("30 orphans are given to the least busy, where a holds 3")
def assign_orphans(context: Any) -> None:
    counts: Counter[str] = Counter(a=3)
    context.assigned_by_name = Counter()
    for number in range(30):
        member = recovery.choose_holder(f"j{number}", context.members, counts)
        assert member is not None
        counts[member.name] += 1
        context.assigned_by_name[member.name] += 1


@then('the orphans are spread "{texts}"')
def check_spread(context: Any, texts: str) -> None:
    pairs = (text.split("=") for text in texts.split())
    expected = {name: int(count) for name, count in pairs}
    assert dict(context.assigned_by_name) == expected, context.assigned_by_name


@given("the direct way failed {failures:d} times, last at {failed:g}")
def set_path(context: Any, failures: int, failed: float) -> None:
    path = store_paths.DirectPath()
    for _ in range(failures):
        path = store_paths.after_direct_call(path, False, failed)
    context.path = path


@when("a call is sent at {now:g} and {relays:d} instances may pass it on")
def order_paths(context: Any, now: float, relays: int) -> None:
    context.paths = store_paths.paths_to_try(context.path, relays, now)


@then('the ways are "{ways}"')
def check_paths(context: Any, ways: str) -> None:
    found = ["direct" if way is None else str(way) for way in context.paths]
    assert found == ways.split(), found


@when('version {wanted:d} was named {ago:g} s ago and "{loading}" loads')
def choose_named(context: Any, wanted: int, ago: float, loading: str) -> None:
    context.loads = next_loads(context.engines, wanted, loading, ago)


@then('the engines "" load next')
def check_no_loads(context: Any) -> None:
    assert not context.loads, context.loads


@then(
    "a sample with {events:d} events of a step {age:g} s old has urgency "
    "{urgency:d}"
)
def check_urgency(context: Any, events: int, age: float, urgency: int) -> None:
    generated = [samples.SampleEvent(n, "", 1) for n in range(events)]
    assert samples.urgency(generated, age) == urgency


@when("a begun sample of {events:d} events is placed")
def place_started(context: Any, events: int) -> None:
    context.views = [v._replace(software=SOFTWARE) for v in context.views]
    requirements = placement.SampleRequirements(
        0, events, generated=1, begun_by=SOFTWARE
    )
    context.chosen = placement.place_sample(context.views, requirements, 1.0)


@given("others reach the store meanwhile: {relayed}")
def set_relayed(context: Any, relayed: str) -> None:
    if YES_NO[relayed]:
        context.path = store_paths.after_relayed_call(context.path)


@given("its last answer took {latency:g} s")
def set_latency(context: Any, latency: float) -> None:
    context.path = context.path._replace(latency_s=latency)


@then("a direct call may take {limit:g} s")
def check_limit(context: Any, limit: float) -> None:
    found = store_paths.direct_timeout_s(context.path)
    assert abs(found - limit) < 1e-9, found


@then("a sample hinted at {hint:g} events with {made:d} made has {left:g} left")
def check_left(context: Any, hint: float, made: int, left: float) -> None:
    assert samples.remaining_events(hint, made) == left


@then(
    "with a drain time of {drain:g} s a list that nobody reads is {age:g} s old"
)
def check_age(context: Any, drain: float, age: float) -> None:
    assert abs(readers.lost_age_s(drain) - age) < 1e-9
    # Two reads and the takeover delay of the next reader must fit into this
    # limit.
    assert readers.read_period_s(drain) + age <= max(2.0, 1.4 * drain)


@given('instances "{names}" of one region that heard the list at {at:g}')
def set_readers(context: Any, names: str, at: float) -> None:
    context.readers, context.list_read_at = names.split(), at


def read_times(context: Any) -> dict[str, float]:
    return {
        name: readers.next_read_at(
            relays.rank(name, "r", context.readers), context.list_read_at, 2.5
        )
        for name in context.readers
    }


@when("the first reader has gone")
def lose_reader(context: Any) -> None:
    found = read_times(context)
    context.readers.remove(min(found, key=lambda name: found[name]))


@then(
    "one of them reads at {first:g} and the others from {least:g} on, at "
    "most at {most:g}"
)
def check_read_times(
    context: Any, first: float, least: float, most: float
) -> None:
    times = sorted(read_times(context).values())
    assert abs(times[0] - first) < 1e-9, times
    assert least <= times[1] and times[-1] <= most, times
