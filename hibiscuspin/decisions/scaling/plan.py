"""How many engines of a service each data centre is to have.

Load pattern: engines crash, are replaced one by one by a release, are taken
away by the platform, or leave for good, while trainers submit steps without a
break. Lost engines are replaced at once. Engines are released one by one, and
only after the demand has needed fewer for a while, since a step that ends late
costs more than idle engines.

An order names the number of engines of a kind in a data centre, so that
repeating one is harmless, and so is one that is decided from a list in which
engines are missing by mistake. The number of on-demand engines never follows
the list downwards.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from hibiscuspin.decisions.scaling import demand
from hibiscuspin.decisions.scaling.demand import DemandHistory
from hibiscuspin.decisions.scaling.engines import (
    EngineCounts,
    EngineGroup,
    EngineListing,
)
from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.decisions.scaling.spread import (
    Need,
    add_engines,
    group_to_reduce,
)

__all__ = [
    "UNAVAILABLE_S",
    "EnginePlan",
    "SentOrder",
    "begin_plan",
    "needed_engines",
    "next_plan",
]

# How long a response that the platform has no engines counts.
UNAVAILABLE_S = 8.0
# How long the demand must need fewer engines before one is released.
SURPLUS_S = 20.0
REMOVAL_PERIOD_S = 5.0


class SentOrder(NamedTuple):
    """The last order of a group that took effect, or may have.

    Attributes:
        engines: The ordered number.
        listed: The engines of the group that the list showed at that time.
        pending_until: Monotonic time until which its engines may be booting.
    """

    engines: int
    listed: int
    pending_until: float


class EnginePlan(NamedTuple):
    """What the coordinator wants for one service, and what it has ordered.

    All times are monotonic.

    Attributes:
        wanted_by_group: The engines that are wanted.
        slots: The slots of an engine; 0 if none was ever listed.
        history: The demand observed in this term.
        order_by_group: The last orders.
        ordered_at_by_data_centre: When the last order of each data centre was
            sent.
        unavailable_until_by_group: Until when a group counts as unavailable.
        surplus_since: Since when fewer engines are needed than wanted;
            infinity if they are not.
        on_demand_surplus_since: The same, for on-demand engines alone.
        removed_at: When the last engine was given up.
    """

    wanted_by_group: EngineCounts
    slots: int = 0
    history: DemandHistory = demand.NEW_HISTORY
    order_by_group: Mapping[EngineGroup, SentOrder] = {}
    ordered_at_by_data_centre: Mapping[str, float] = {}
    unavailable_until_by_group: Mapping[EngineGroup, float] = {}
    surplus_since: float = math.inf
    on_demand_surplus_since: float = math.inf
    removed_at: float = -math.inf

    def wanted(self, group: EngineGroup) -> int:
        """Returns how many engines of a group are wanted."""
        return self.wanted_by_group.get(group, 0)

    def is_unavailable(self, group: EngineGroup, now: float) -> bool:
        """Returns whether the platform has no engines of a group now."""
        return self.unavailable_until_by_group.get(group, -math.inf) > now

    def pending(self, group: EngineGroup, now: float) -> int:
        """Returns the number that was ordered and may be booting, or 0."""
        order = self.order_by_group.get(group)
        return order.engines if order and now < order.pending_until else 0


def begin_plan(
    highest_on_demand: EngineCounts, listing: EngineListing
) -> EnginePlan:
    """Returns the plan of a new term.

    Args:
        highest_on_demand: The most on-demand engines listed lately.
        listing: The engines that are listed now.
    """
    return EnginePlan({**listing.present_by_group, **highest_on_demand})


def needed_engines(plan: EnginePlan) -> Need:
    """Returns how many engines the peak demand needs.

    Before an engine was listed its slots are unknown; the minimum is ordered
    then.
    """
    if not plan.slots:
        return Need(0, 0)
    samples = demand.peak(plan.history)
    return Need(
        demand.engines_needed(samples, plan.slots),
        demand.engines_to_survive(samples, plan.slots),
    )


def next_plan(
    plan: EnginePlan,
    limits: ScalingLimits,
    listing: EngineListing,
    samples: int,
    now: float,
    *,
    may_release: bool = True,
) -> EnginePlan:
    """Returns the plan after one more look at the engines and the demand.

    Args:
        plan: The plan so far.
        limits: The limits and prices.
        listing: The engines, from a list that is complete.
        samples: The samples in flight or waiting at all instances.
        now: The monotonic time.
        may_release: Whether all of the service's demand is known, so that
            engines may be given up.
    """
    plan = plan._replace(
        slots=listing.slots or plan.slots,
        history=demand.observe(plan.history, samples, now),
    )
    plan = _follow_listing(plan, limits, listing, now)
    plan = _add_missing(plan, limits, listing, now)
    return _release_surplus(plan, limits, now, may_release)


def _follow_listing(
    plan: EnginePlan, limits: ScalingLimits, listing: EngineListing, now: float
) -> EnginePlan:
    """Takes over what happened to engines without an order."""
    wanted = dict(plan.wanted_by_group)
    unavailable = dict(plan.unavailable_until_by_group)
    for group, present in listing.present_by_group.items():
        order = plan.order_by_group.get(group)
        was_ordered = order is not None and order.engines == plan.wanted(group)
        if present > plan.wanted(group) and not was_ordered:
            wanted[group] = present
    for group in listing.reclaimed:
        if listing.present(group) < wanted.get(group, 0):
            unavailable[group] = now + UNAVAILABLE_S
            wanted[group] = listing.present(group)
    for data_centre in limits.price_by_data_centre:
        on_demand = EngineGroup(data_centre, False)
        interruptible = EngineGroup(data_centre, True)
        count = min(wanted.get(on_demand, 0), limits.maximum)
        spare = limits.maximum - count
        wanted[interruptible] = min(wanted.get(interruptible, 0), spare)
        missing = limits.minimum - count - wanted[interruptible]
        wanted[on_demand] = count + max(0, missing)
    return plan._replace(
        wanted_by_group=wanted, unavailable_until_by_group=unavailable
    )


def _add_missing(
    plan: EnginePlan, limits: ScalingLimits, listing: EngineListing, now: float
) -> EnginePlan:
    need = needed_engines(plan)
    unavailable = {
        group
        for data_centre in limits.price_by_data_centre
        for group in (
            EngineGroup(data_centre, False),
            EngineGroup(data_centre, True),
        )
        if plan.is_unavailable(group, now)
    }
    expected = sum(
        min(count, max(listing.present(group), plan.pending(group, now)))
        if group in unavailable
        else count
        for group, count in plan.wanted_by_group.items()
    )
    missing = need.engines - expected
    if missing <= 0:
        return plan
    wanted = add_engines(
        plan.wanted_by_group, missing, need, limits, unavailable
    )
    return plan._replace(wanted_by_group=wanted)


def _release_surplus(
    plan: EnginePlan, limits: ScalingLimits, now: float, may_release: bool
) -> EnginePlan:
    need = needed_engines(plan)
    wanted = plan.wanted_by_group
    on_demand = sum(n for group, n in wanted.items() if not group.interruptible)
    observed_since = plan.history.since
    plan = plan._replace(
        surplus_since=max(min(plan.surplus_since, now), observed_since)
        if need.engines < sum(wanted.values())
        else math.inf,
        on_demand_surplus_since=max(
            min(plan.on_demand_surplus_since, now), observed_since
        )
        if need.engines < on_demand
        else math.inf,
    )
    if (
        not may_release
        or not demand.is_history_complete(plan.history, now)
        or now < plan.surplus_since + SURPLUS_S
        or now < plan.removed_at + REMOVAL_PERIOD_S
    ):
        return plan
    group = group_to_reduce(
        {g: n for g, n in wanted.items() if _is_priced(g, limits)},
        need,
        limits,
        may_reduce_on_demand=now >= plan.on_demand_surplus_since + SURPLUS_S,
    )
    if group is None:
        return plan
    return plan._replace(
        wanted_by_group={**wanted, group: wanted[group] - 1}, removed_at=now
    )


def _is_priced(group: EngineGroup, limits: ScalingLimits) -> bool:
    return group.data_centre in limits.price_by_data_centre
