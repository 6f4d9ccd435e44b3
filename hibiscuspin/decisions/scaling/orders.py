"""Which orders of engines are due, and what their outcomes mean.

Load pattern: the platform takes seconds to boot an engine, has none of a kind
for some seconds, or doesn't answer. An order is not repeated while its engines
may be booting, unless further engines have left since it was sent.
"""

import enum
from typing import NamedTuple

from hibiscuspin.decisions.scaling import demand
from hibiscuspin.decisions.scaling.engines import EngineGroup, EngineListing
from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.decisions.scaling.plan import (
    UNAVAILABLE_S,
    EnginePlan,
    SentOrder,
)

__all__ = [
    "DueOrder",
    "OrderResult",
    "after_order",
    "begin_order",
    "due_orders",
]

# Engines that booted register and are listed within this time.
BOOT_MARGIN_S = 2.0
# An order without a response is repeated after this time.
REPEAT_S = 1.0
# The platform's limit for each data centre of a service.
ORDER_PERIOD_S = 1.0


class OrderResult(enum.Enum):
    """How the call of an order ended.

    Attributes:
        ACCEPTED: The platform carries it out.
        UNAVAILABLE: The platform has no such engines now.
        NOT_SENT: It had no effect, and may be sent again.
        UNKNOWN: It got no response.
        REJECTED: The platform would reject it again.
    """

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class DueOrder(NamedTuple):
    """An order to send now.

    Attributes:
        group: The data centre and the kind of engines.
        engines: The number to order.
        present: The engines of the group that stay.
        listed: The engines of the group that stay or leave.
        reason: Why it is due, for the log.
    """

    group: EngineGroup
    engines: int
    present: int
    listed: int
    reason: str


def due_orders(
    plan: EnginePlan, limits: ScalingLimits, listing: EngineListing, now: float
) -> list[DueOrder]:
    """Returns the orders that are due, at most one for each data centre."""
    due = []
    for data_centre in sorted(limits.price_by_data_centre):
        ordered_at = plan.ordered_at_by_data_centre.get(data_centre)
        if ordered_at is not None and now < ordered_at + ORDER_PERIOD_S:
            continue
        for interruptible in (False, True):
            group = EngineGroup(data_centre, interruptible)
            engines = _number_to_order(plan, limits, listing, group, now)
            reason = _reason_to_order(plan, listing, group, engines, now)
            if reason:
                present, listed = listing.present(group), listing.listed(group)
                due.append(DueOrder(group, engines, present, listed, reason))
                break
    return due


def _number_to_order(
    plan: EnginePlan,
    limits: ScalingLimits,
    listing: EngineListing,
    group: EngineGroup,
    now: float,
) -> int:
    """Returns the wanted number, as far as the other kind leaves room.

    Engines of the other kind that are not wanted any more leave later.
    """
    other = EngineGroup(group.data_centre, not group.interruptible)
    taken = max(listing.present(other), plan.pending(other, now))
    present = listing.present(group)
    room = max(present, limits.maximum - taken)
    return min(plan.wanted(group), room)


def _reason_to_order(
    plan: EnginePlan,
    listing: EngineListing,
    group: EngineGroup,
    wanted: int,
    now: float,
) -> str:
    """Returns why an order of a group is due; empty if none is."""
    present = listing.present(group)
    if wanted == present or not _may_order(plan, group, present, now):
        return ""
    order = plan.order_by_group.get(group)
    if order is None or order.engines != wanted:
        return "engines missing" if wanted > present else "surplus"
    if listing.listed(group) < order.listed and wanted > present:
        return "further engines left"
    return "" if now < order.pending_until else "order without effect so far"


def _may_order(
    plan: EnginePlan, group: EngineGroup, present: int, now: float
) -> bool:
    if plan.wanted(group) < present:
        return demand.is_history_complete(plan.history, now)
    return not plan.is_unavailable(group, now)


def begin_order(plan: EnginePlan, order: DueOrder, now: float) -> EnginePlan:
    """Returns the plan once an order is about to be sent."""
    ordered_at = {
        **plan.ordered_at_by_data_centre,
        order.group.data_centre: now,
    }
    return plan._replace(ordered_at_by_data_centre=ordered_at)


def after_order(
    plan: EnginePlan,
    order: DueOrder,
    result: OrderResult,
    boot_s: float,
    now: float,
) -> EnginePlan:
    """Returns the plan after the call of an order has ended.

    Args:
        plan: The plan so far.
        order: The order.
        result: How its call ended.
        boot_s: The time from an order until a new engine serves.
        now: The monotonic time.
    """
    group = order.group
    if result is OrderResult.NOT_SENT:
        return plan
    # The platform rejects a number as too high if it counts engines that the
    # list lacks.
    is_rejected = result is OrderResult.REJECTED
    if result is OrderResult.UNAVAILABLE or (
        is_rejected and order.engines > order.present
    ):
        return _after_refusal(plan, order, now)
    wait_s = boot_s + BOOT_MARGIN_S
    if result is OrderResult.UNKNOWN:
        wait_s = REPEAT_S
    sent = SentOrder(order.engines, order.listed, now + wait_s)
    return plan._replace(order_by_group={**plan.order_by_group, group: sent})


def _after_refusal(plan: EnginePlan, order: DueOrder, now: float) -> EnginePlan:
    """Makes the plan find the missing engines elsewhere.

    On-demand engines stay wanted, and are ordered again once the refusal no
    longer counts.
    """
    group = order.group
    wanted = dict(plan.wanted_by_group)
    if group.interruptible:
        booting = plan.pending(group, now)
        wanted[group] = min(wanted[group], max(order.present, booting))
    return plan._replace(
        wanted_by_group=wanted,
        unavailable_until_by_group={
            **plan.unavailable_until_by_group,
            group: now + UNAVAILABLE_S,
        },
    )
