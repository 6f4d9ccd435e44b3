"""Steps on the decision of how many engines to order, replayed by second."""

import math
from collections import Counter
from typing import Any, NamedTuple

from behave import given, then, when

from hibiscuspin.decisions.scaling import departure, orders
from hibiscuspin.decisions.scaling.engines import (
    EngineGroup,
    EngineListing,
    PresentPoint,
    highest_present,
    is_list_usable,
    record_present,
)
from hibiscuspin.decisions.scaling.limits import ScalingLimits, find_problem
from hibiscuspin.decisions.scaling.orders import DueOrder, OrderResult
from hibiscuspin.decisions.scaling.plan import (
    EnginePlan,
    begin_plan,
    needed_engines,
    next_plan,
)
from hibiscuspin.platform import scaling

SLOTS = 8
BOOT_S = 4
STEP_S = 4
PRICES = {"a": 1.0, "b": 0.8, "c": 0.9}
MAX_LIST_AGE_S = 3.0


class Sent(NamedTuple):
    """An order, when it was sent, and its result."""

    at: int
    order: DueOrder
    result: OrderResult


class Fleet:
    """Engines and the platform that boots them, second by second."""

    def __init__(self, counts: dict[str, int], maximum: int) -> None:
        self.limits = ScalingLimits(2, maximum, BOOT_S, 0.18, PRICES)
        self.present = Counter(
            {EngineGroup(dc, False): n for dc, n in counts.items()}
        )
        self.leaving: Counter[EngineGroup] = Counter()
        self.leaves_at: dict[EngineGroup, int] = {}
        self.booting: list[tuple[int, EngineGroup]] = []
        self.refused_until = {True: 0, False: 0}
        self.responses_to_lose = 0
        self.may_release = True
        self.replaces_from = math.inf
        self.hides_until = 0
        self.now = 0
        self.plan: EnginePlan | None = None
        self.points: tuple[PresentPoint, ...] = ()
        self.sent: list[Sent] = []
        self.count_at: list[int] = []

    def listing(self) -> EngineListing:
        present = Counter(self.present)
        if self.now < self.hides_until:
            present = Counter({g: n // 2 for g, n in present.items()})
        reclaimed = frozenset(g for g in self.leaving if g.interruptible)
        return EngineListing(present, Counter(self.leaving), reclaimed, SLOTS)

    def tick(self, samples: int, *, coordinates: bool = True) -> None:
        self._boot_and_leave()
        listing = self.listing()
        self.points = record_present(self.points, listing, self.now)
        self.count_at.append(sum(self.present.values()))
        if coordinates:
            self._order(listing, samples)
        self.now += 1

    def _boot_and_leave(self) -> None:
        self.present.update(g for at, g in self.booting if at <= self.now)
        self.booting = [row for row in self.booting if row[0] > self.now]
        for group, at in list(self.leaves_at.items()):
            if at <= self.now:
                del self.leaves_at[group], self.leaving[group]
        first = EngineGroup("a", False)
        phase = self.now - self.replaces_from
        # A release drains one engine for 2 s, then its successor boots.
        if phase >= 0 and phase % 8 == 0 and first not in self.leaving:
            self.leave(first, 1, 2)
            self.booting.append((self.now + 2 + BOOT_S, first))

    def leave(self, group: EngineGroup, count: int, notice_s: int) -> None:
        self.present[group] -= count
        self.leaving[group] += count
        self.leaves_at[group] = self.now + notice_s

    def _order(self, listing: EngineListing, samples: int) -> None:
        if self.plan is None:
            self.plan = begin_plan(highest_present(self.points), listing)
        self.plan = next_plan(
            self.plan,
            self.limits,
            listing,
            samples,
            self.now,
            may_release=self.may_release,
        )
        for due in orders.due_orders(self.plan, self.limits, listing, self.now):
            self.plan = orders.begin_order(self.plan, due, self.now)
            result = self._carry_out(due)
            self.sent.append(Sent(self.now, due, result))
            self.plan = orders.after_order(
                self.plan, due, result, BOOT_S, self.now
            )

    def _carry_out(self, due: DueOrder) -> OrderResult:
        group = due.group
        dc = group.data_centre
        other = EngineGroup(dc, not group.interruptible)
        total = due.engines + self.present[other]
        assert total <= self.limits.maximum, due
        if self.now < self.refused_until[group.interruptible]:
            return OrderResult.UNAVAILABLE
        coming = sum(g == group for _, g in self.booting)
        missing = due.engines - self.present[group] - coming
        self.booting += [(self.now + BOOT_S, group)] * missing
        self.present[group] += min(0, missing)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return OrderResult.UNKNOWN
        return OrderResult.ACCEPTED


def lowered(fleet: Fleet) -> list[Sent]:
    return [row for row in fleet.sent if row.order.engines < row.order.present]


@given(
    "{a:d} on-demand engines in a, {b:d} in b and {c:d} in c, at most "
    "{most:d} in each"
)
def set_engines(context: Any, a: int, b: int, c: int, most: int) -> None:
    context.fleet = Fleet({"a": a, "b": b, "c": c}, most)


@given("the service also gets calls")
def set_mixed(context: Any) -> None:
    context.fleet.may_release = False


@given("there are no interruptible engines for {s:d} s")
def refuse(context: Any, s: int) -> None:
    context.fleet.refused_until[True] = s


@given("the first {count:d} orders get no response, but take effect")
def lose_responses(context: Any, count: int) -> None:
    context.fleet.responses_to_lose = count


@when(
    "steps of {peak:d} samples at the peak and {trough:d} in the trough run "
    "for {s:d} s"
)
@when(
    "the steps become {peak:d} samples at the peak and {trough:d} in the "
    "trough for {s:d} s"
)
def run_steps(context: Any, peak: int, trough: int, s: int) -> None:
    context.demand = (peak, trough)
    go_on(context, s)


@when("the steps go on for {s:d} s")
def go_on(context: Any, s: int) -> None:
    fleet: Fleet = context.fleet
    context.resumed_at = fleet.now
    peak, trough = context.demand
    for _ in range(s):
        fleet.tick(peak if fleet.now % STEP_S < STEP_S / 2 else trough)


@when("{count:d} on-demand engines of {dc} are lost for good")
def lose(context: Any, count: int, dc: str) -> None:
    context.fleet.present[EngineGroup(dc, False)] -= count


@when("on-demand engines of a are replaced one by one from then on")
def replace(context: Any) -> None:
    context.fleet.replaces_from = context.fleet.now


@when("all interruptible engines of {dc} are taken away with {s:d} s of notice")
def reclaim(context: Any, dc: str, s: int) -> None:
    group = EngineGroup(dc, True)
    assert context.fleet.present[group] > 1, context.fleet.present
    context.reclaimed_at = context.fleet.now
    context.fleet.leave(group, context.fleet.present[group], s)


@when("another instance takes over {s:d} s later")
def take_over(context: Any, s: int) -> None:
    for _ in range(s):
        context.fleet.tick(0, coordinates=False)
    context.fleet.plan = None


@when("the list lacks half of the engines for {s:d} s")
def hide(context: Any, s: int) -> None:
    context.fleet.hides_until = context.fleet.now + s


@then("from {s:d} s on at least {count:d} engines were present")
def check_from(context: Any, s: int, count: int) -> None:
    assert min(context.fleet.count_at[s:]) >= count, context.fleet.count_at


@then("no order ever lowered a number")
def check_none_lowered(context: Any) -> None:
    assert not lowered(context.fleet), lowered(context.fleet)


@then(
    "the cheapest two data centres have interruptible engines, and share them"
)
def check_shared(context: Any) -> None:
    present = context.fleet.present
    shares = [present[EngineGroup(dc, True)] for dc in "bca"]
    assert min(shares[:2]) > 0 and abs(shares[0] - shares[1]) <= 1, shares


@then("there were at most {count:d} orders")
def check_few(context: Any, count: int) -> None:
    assert len(context.fleet.sent) <= count, context.fleet.sent


@then(
    "nothing was lowered in the first {first:d} s, and one engine in 5 s after "
    "that"
)
def check_pace(context: Any, first: int) -> None:
    rows = lowered(context.fleet)
    assert rows and rows[0].at >= first, rows
    for row, following in zip(rows, rows[1:], strict=False):
        assert following.at - row.at >= 5, (row, following)
    assert all(r.order.present - r.order.engines == 1 for r in rows), rows


@then("the first lowered number was on-demand in {dc}")
def check_first(context: Any, dc: str) -> None:
    assert lowered(context.fleet)[0].order.group == EngineGroup(dc, False)


@then("{count:d} engines are left, at least {least:d} in each data centre")
def check_left(context: Any, count: int, least: int) -> None:
    present = context.fleet.present
    assert sum(present.values()) == count, present
    assert all(present[EngineGroup(dc, False)] >= least for dc in "abc")


@then("an order for on-demand {dc} was sent within 1 s")
def check_ordered(context: Any, dc: str) -> None:
    rows = [r for r in context.fleet.sent if r.at >= context.resumed_at]
    group = EngineGroup(dc, False)
    assert rows and rows[0].order.group == group, rows
    assert rows[0].at <= context.resumed_at + 1, rows


@then("{count:d} engines are present again after {s:d} s")
def check_again(context: Any, count: int, s: int) -> None:
    counts = context.fleet.count_at[context.resumed_at + s :]
    # A rolling replacement has one engine at a time away.
    away = context.fleet.replaces_from < math.inf
    assert counts and min(counts) >= count - away, counts


@then("{count:d} engines are present at the end")
def check_end(context: Any, count: int) -> None:
    assert context.fleet.count_at[-1] == count, context.fleet.count_at


@then("at every time the engines served {part:g} of the peak")
def check_served(context: Any, part: float) -> None:
    counts = context.fleet.count_at[context.resumed_at :]
    assert min(counts) * SLOTS >= part * context.demand[0], counts


@then("no interruptible engine of {dc} was ordered for {s:d} s after that")
def check_not_ordered(context: Any, dc: str, s: int) -> None:
    at = context.reclaimed_at
    found = [
        row
        for row in context.fleet.sent
        if at <= row.at < at + s and row.order.group == EngineGroup(dc, True)
    ]
    assert not found, found


@then("each kind that was refused was not ordered again for {s:d} s")
def check_refused(context: Any, s: int) -> None:
    rows = context.fleet.sent
    refused = [r for r in rows if r.result is OrderResult.UNAVAILABLE]
    assert refused
    for row in refused:
        group = row.order.group
        again = [r.at for r in rows if r.order.group == group and r != row]
        assert not [at for at in again if row.at < at < row.at + s], rows


@then("the first order was repeated {s:d} s later")
def check_repeated(context: Any, s: int) -> None:
    first = context.fleet.sent[0]
    same = [r for r in context.fleet.sent if r.order.group == first.order.group]
    assert same[1].at == first.at + s, same
    assert same[1].order.engines >= first.order.engines, same


@then("a list of {age:d} s, {back:d} s after an outage, is {is_}")
def check_usable(context: Any, age: int, back: int, is_: str) -> None:
    usable = is_list_usable(100.0 - age, 100.0 - back, MAX_LIST_AGE_S, 100.0)
    assert usable == (is_ == "usable"), (age, back)


@when('the scaling limits of a service are "{text}"')
def set_limits(context: Any, text: str) -> None:
    raw: dict[str, Any] = {"zone_prices": {}}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        table = raw if len(name) > 2 else raw["zone_prices"]
        table[name] = "x" if value == "x" else float(value)
        if name in ("min", "max"):
            table[name] = int(value)
    context.errors = []
    error = scaling._log.error
    scaling._log.error = lambda _, extra: context.errors.append(extra)  # type: ignore[method-assign,assignment,misc]
    try:
        row = {"name": "s", "scaling": raw}
        context.decoded = scaling.decode_limits([{"name": "t"}, row])
    finally:
        scaling._log.error = error  # type: ignore[method-assign]


@then('it is not scaled, and the error names "{value}"')
def check_problem(context: Any, value: str) -> None:
    reasons = [row["reason"] for row in context.errors]
    if context.decoded:
        reasons = [find_problem(context.decoded["s"], ["a"], PRICES)]
    assert len(reasons) == 1 and value in reasons[0], reasons


@then(
    "a sample of {events:d} events of 0.05 s, {left:g} s before the end, "
    "{moves}"
)
def check_moves(context: Any, events: int, left: float, moves: str) -> None:
    found = departure.must_move(100.0 + left, events, 0.05, 100.0)
    assert found == (moves == "moves")
    assert not departure.must_move(None, events, 0.05, 100.0)


@then("{count:d} engines are needed")
def check_needed(context: Any, count: int) -> None:
    need = needed_engines(context.fleet.plan)
    assert need.engines == count, need


@given("{count:d} interruptible engines of a that are not wanted any more")
def add_unwanted(context: Any, count: int) -> None:
    context.fleet.present[EngineGroup("a", True)] = count


@when("{count:d} on-demand engines of a become wanted")
def want(context: Any, count: int) -> None:
    context.plan = EnginePlan({EngineGroup("a", False): count})


@then("{count:d} are ordered, and no others before 1 s has passed")
def check_one_order(context: Any, count: int) -> None:
    fleet: Fleet = context.fleet

    def due(now: float) -> list[DueOrder]:
        rows = orders.due_orders(
            context.plan, fleet.limits, fleet.listing(), now
        )
        return [row for row in rows if row.group.data_centre == "a"]

    (order,) = due(0.0)
    assert order.engines == count, order
    context.plan = orders.begin_order(context.plan, order, 0.0)
    assert not due(0.9) and due(1.0)
