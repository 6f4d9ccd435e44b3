"""Steps on the registration of instances and the coordinator's duty."""

import contextlib
import random
from collections import Counter
from functools import partial
from typing import Any

from behave import given, then, when

from features.platform_fakes import MemoryStore
from features.shared_store import FakeClock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    CommitConflict,
    PutOperation,
    Transaction,
)
from hibiscuspin.tasks.instances import LIVE_PREFIX, TICK_S, Instances, Term

TAKEOVER_S = 3.0


def pass_live_keys(context: Any) -> None:
    """Passes the live keys of the store to all instances."""
    scan = context.store.scan(LIVE_PREFIX, 0.0)
    values = {value.key: value for value in scan.values}
    for instance in context.instances:
        instance.on_values(values)


def terms(context: Any) -> list[Term]:
    found = [instance.term() for instance in context.instances]
    return [term for term in found if term is not None]


def holder(context: Any) -> Any:
    return next(i for i in context.instances if i.term() is not None)


@given('instances "{names}" that have registered')
def register(context: Any, names: str) -> None:
    context.store = MemoryStore()
    context.clock = FakeClock()
    context.names_with_jobs = set()
    context.isolated_names = set()
    context.instances = [
        Instances(
            LiveInstance(name, "1", f"{name}:1", "dc"),
            context.store,
            context.clock,
            random.Random(1),
            TAKEOVER_S,
            partial(context.names_with_jobs.__contains__, name),
            partial(context.isolated_names.__contains__, name),
        )
        for name in names.split()
    ]
    renew(context)


@when("all instances renew their leases")
def renew(context: Any) -> None:
    for instance in context.instances:
        instance._renew_or_register()
    pass_live_keys(context)


@when("all instances seek the duty")
def compete(context: Any) -> None:
    renew(context)
    # Lower-ranked candidates wait longer before they compete for the duty.
    context.clock.now += 2.0
    renew(context)
    for instance in context.instances:
        instance._compete_for_duty()
    pass_live_keys(context)


@when("the holder's lease ends and {seconds:g} s pass")
def end_lease(context: Any, seconds: float) -> None:
    lost = holder(context)
    context.previous_term = lost.term()
    context.store.revoke_lease(lost._registration.lease, 0.0)
    context.clock.now += seconds
    if seconds > 1.0:
        # The instance itself is lost, not only its lease.
        context.instances.remove(lost)
    pass_live_keys(context)
    context.free_at = context.clock.now


@when("the holder hears registrations that were read before it had the duty")
def pass_old_view(context: Any) -> None:
    old = {
        value.key: value
        for value in context.store.scan(LIVE_PREFIX, 0.0).values
        if value.revision < holder(context).term().fencing
    }
    # A registration and the announced formats of each.
    assert len(old) == 2 * len(context.instances), old
    holder(context).on_values(old)


@when("the store loses its answer to the first who takes the duty")
def lose_acquisition(context: Any) -> None:
    renew(context)
    context.clock.now += 2.0
    renew(context)
    for instance in context.instances:
        if not instance._may_take_duty(context.clock.now):
            continue
        instance._renew_or_register()
        context.store.replies_to_lose = 1
        try:
            instance._compete_for_duty()
        except StoreError:
            context.lost = instance
            return
    raise AssertionError("no instance took the duty")


@when("the holder reaches no target, and the store loses its first answer")
def isolate_holder(context: Any) -> None:
    context.isolated = isolated = holder(context)
    context.isolated_names.add(isolated.member.name)
    context.store.down = True
    with contextlib.suppress(StoreError):
        isolated._give_up_duty_if_isolated()
    context.store.down = False
    pass_live_keys(context)
    assert isolated.term() is None
    isolated._give_up_duty_if_isolated()
    pass_live_keys(context)


@then("the one that reaches no target has none")
def check_isolated(context: Any) -> None:
    assert context.isolated.term() is None


@then("its lease lives on")
def check_isolated_lease(context: Any) -> None:
    lease = context.isolated._registration.lease
    context.store.renew_lease(lease, 0.0)


@when("the others read the registrations")
def read_registrations(context: Any) -> None:
    pass_live_keys(context)
    for instance in context.instances:
        instance._renew_or_register()
        instance._compete_for_duty()
    (context.term,) = terms(context)


@when("the store names another holder")
def replace_holder(context: Any) -> None:
    context.lost = holder(context)
    other = next(i for i in context.instances if i.term() is None)
    context.chosen = other
    key = LIVE_PREFIX + "coordinator"
    put = PutOperation(
        key, other.member.name.encode(), other._registration.lease
    )
    context.store.commit(Transaction({}, (put,)), 0.0)
    pass_live_keys(context)


@then("only that one has a term")
def check_only(context: Any) -> None:
    assert context.lost.term() is None
    assert context.chosen.term() is not None
    assert len(terms(context)) == 1


@when("the holder's process ends and starts again")
def restart_holder(context: Any) -> None:
    lost = holder(context)
    context.previous_term = lost.term()
    context.restarted = Instances(
        lost.member._replace(term="2"),
        context.store,
        context.clock,
        random.Random(2),
        TAKEOVER_S,
    )
    context.instances[context.instances.index(lost)] = context.restarted
    context.lost = lost


@then("the holder has a term as soon as it has read the registrations")
def check_restarted(context: Any) -> None:
    restarted = context.restarted
    restarted._renew_or_register()
    pass_live_keys(context)
    # The short lease that the duty needs follows in the same tick.
    restarted._renew_or_register()
    restarted._compete_for_duty()
    context.term = restarted.term()
    assert context.term is not None


@then("its fence is higher than before, and it need not wait")
def check_fence(context: Any) -> None:
    assert context.term.fencing > context.previous_term.fencing
    assert context.term.orders_from <= context.clock.now


@then("the term before can't be renewed")
def check_lost_term(context: Any) -> None:
    pass_live_keys(context)
    context.lost.on_values(
        {v.key: v for v in context.store.scan(LIVE_PREFIX, 0.0).values}
    )
    assert context.lost.term() is None
    assert context.restarted.term() is not None


@when("the other instances seek the duty")
def compete_others(context: Any) -> None:
    pass_live_keys(context)
    for instance in context.instances:
        if instance is not context.restarted:
            instance._compete_for_duty()


@then("no instance but the holder can get a term")
def check_others(context: Any) -> None:
    assert not terms(context)


@when("{seconds:g} s pass without a renewal")
def wait(context: Any, seconds: float) -> None:
    context.clock.now += seconds


@then("exactly one has a term")
def check_one(context: Any) -> None:
    assert len(terms(context)) == 1, terms(context)


@then("exactly one has a term, with a higher fence than before")
def check_next(context: Any) -> None:
    (context.term,) = terms(context)
    assert context.term.fencing > context.previous_term.fencing


@then("its first order may be given {seconds:g} s later")
def check_takeover(context: Any, seconds: float) -> None:
    assert context.term.orders_from == context.clock.now + seconds


@then(
    "its first order may be given {seconds:g} s after the duty was seen to be "
    "free"
)
def check_free(context: Any, seconds: float) -> None:
    chosen = holder(context)
    expected = max(context.clock.now, context.free_at + seconds)
    # The duty was free before the wait of 2 s for the candidates' turns.
    assert context.clock.now > context.free_at
    assert chosen.term().orders_from == expected, (chosen.term(), expected)


@when("another one holds the duty and is lost, unseen by the others")
def hold_unseen(context: Any) -> None:
    context.clock.now += 2.0
    lost = min(context.instances, key=lambda instance: instance._rank())
    lost._renew_or_register()
    lost._compete_for_duty()
    assert lost.term() is not None
    context.clock.now += 2.0
    context.store.revoke_lease(lost._registration.lease, 0.0)
    context.instances.remove(lost)
    pass_live_keys(context)


@then("its first order may be given {seconds:g} s after its acquisition")
def check_acquisition(context: Any, seconds: float) -> None:
    assert holder(context).term().orders_from == context.clock.now + seconds


@when("the holder orders and is stopped {seconds:g} s later")
def stop_holder(context: Any, seconds: float) -> None:
    context.lost = holder(context)
    context.previous_term = context.lost.term()
    assert context.lost.begin_order(context.previous_term)
    context.clock.now += seconds
    # A running instance renews its lease meanwhile.
    renew(context)
    context.lost.leave()
    context.instances.remove(context.lost)
    pass_live_keys(context)
    # Makes up for the 2 s that candidates wait, so that one acts at once.
    context.clock.now -= 2.0


@when("the holder is stopped, and what it writes takes effect late")
def stop_with_late_write(context: Any) -> None:
    context.store.commits_to_delay = 1
    lost = holder(context)
    lost.leave()
    context.instances.remove(lost)
    pass_live_keys(context)


@when("the late write takes effect")
def apply_late(context: Any) -> None:
    context.store.commits_to_delay = 0
    (outcome,) = context.store.apply_delayed()
    assert isinstance(outcome, CommitConflict), outcome


@then("the holder before may not begin an order")
def check_no_order(context: Any) -> None:
    assert not context.lost.begin_order(context.previous_term)


@then("no instance has a term")
def check_none(context: Any) -> None:
    assert not terms(context), terms(context)


@then("all instances are registered")
def check_registered(context: Any) -> None:
    names = {instance.member.name for instance in context.instances}
    assert all(set(i.members()) == names for i in context.instances)


@then(
    "{near:d} instances ask for changes each {soon:g} s and {far:d} each "
    "{late:g} s"
)
def check_gaps(
    context: Any, near: int, soon: float, far: int, late: float
) -> None:
    gaps = Counter(i.watch_gap_s(1) for i in context.instances)
    assert gaps == {soon: near, late: far}, gaps


def ttl_s(instance: Instances) -> float:
    return instance._registration.plan.ttl_s


@then(
    "{prompt:d} instances have a lease of {short:g} s and {idle:d} one of "
    "{long:g} s"
)
def check_leases(
    context: Any, prompt: int, short: float, idle: int, long: float
) -> None:
    tick(context)
    found = Counter(ttl_s(instance) for instance in context.instances)
    assert found == {short: prompt, long: idle}, found


def tick(context: Any) -> None:
    context.clock.now += TICK_S
    renew(context)


@when("each instance renews its lease when due for {seconds:g} s")
def renew_when_due(context: Any, seconds: float) -> None:
    context.renewals = Counter()
    for _ in range(int(seconds / TICK_S)):
        before = {i.member.name: i._registration for i in context.instances}
        tick(context)
        context.renewals.update(
            instance.member.name
            for instance in context.instances
            if instance._registration != before[instance.member.name]
        )


@then(
    "the first kind renewed {many:d} times each and the second {few:d} times "
    "each"
)
def check_renewals(context: Any, many: int, few: int) -> None:
    for instance in context.instances:
        expected = many if ttl_s(instance) < 3 else few
        renewals = context.renewals[instance.member.name]
        assert abs(renewals - expected) <= 1, (ttl_s(instance), renewals)


@when("an instance with a long lease accepts a job")
def accept_job(context: Any) -> None:
    tick(context)
    context.chosen = next(i for i in context.instances if ttl_s(i) > 3)
    context.names_with_jobs.add(context.chosen.member.name)


@when("its job has ended and {seconds:g} s pass")
def end_job(context: Any, seconds: float) -> None:
    context.names_with_jobs.clear()
    for _ in range(int(seconds / TICK_S)):
        tick(context)


@then("it has a lease of {seconds:g} s after its next tick")
def check_lease(context: Any, seconds: float) -> None:
    tick(context)
    assert ttl_s(context.chosen) == seconds, context.chosen._registration


@given("an instance that has just started")
def start_instance(context: Any) -> None:
    context.chosen = Instances(
        LiveInstance("new", "1", "new:1", "dc"),
        MemoryStore(),
        context.clock,
        random.Random(1),
        TAKEOVER_S,
    )


@then("it does not seek the duty before it has read the registrations")
def check_no_duty(context: Any) -> None:
    for _ in range(10):
        context.clock.now += TICK_S
        context.chosen._renew_or_register()
        context.chosen._compete_for_duty()
    assert context.chosen.term() is None
    context.chosen.on_values({})
    for _ in range(3):
        context.clock.now += TICK_S
        context.chosen._renew_or_register()
        context.chosen._compete_for_duty()
    assert context.chosen.term() is not None
