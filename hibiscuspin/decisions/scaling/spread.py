"""Where further engines are ordered, and which ones are released.

Load pattern: the platform takes away all interruptible engines of a data
centre at once, with 2 to 3 s of notice, while steps are running. The engines
that are left must serve most of the demand until others have booted.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hibiscuspin.decisions.scaling.engines import EngineCounts, EngineGroup
from hibiscuspin.decisions.scaling.limits import ScalingLimits

__all__ = ["Need", "add_engines", "group_to_reduce", "total_in"]


class Need(NamedTuple):
    """The engines that a service needs.

    Attributes:
        engines: How many serve the peak demand.
        surviving: How many must be left after one data centre has lost all
            its interruptible engines.
    """

    engines: int
    surviving: int


def total_in(counts: EngineCounts, data_centre: str) -> int:
    """Returns the engines of both kinds in a data centre."""
    return sum(
        count
        for group, count in counts.items()
        if group.data_centre == data_centre
    )


def add_engines(
    wanted_by_group: EngineCounts,
    missing: int,
    need: Need,
    limits: ScalingLimits,
    unavailable: Collection[EngineGroup],
) -> dict[EngineGroup, int]:
    """Returns the counts with the missing engines, as far as limits allow.

    Interruptible engines are preferred, the cheapest first, at most half of
    them in one data centre and no more than a loss allows. The others are
    on-demand engines. If none can be had, interruptible ones are better than
    no engines.

    Args:
        wanted_by_group: The engines that are wanted so far.
        missing: How many are added.
        need: The engines that are needed in all.
        limits: The limits and prices.
        unavailable: The groups of which the platform has no engines now.
    """
    wanted = dict(wanted_by_group)
    for _ in range(missing):
        group = _group_to_extend(wanted, need, limits, unavailable)
        if group is None:
            break
        wanted[group] = wanted.get(group, 0) + 1
    return wanted


def _group_to_extend(
    wanted: Mapping[EngineGroup, int],
    need: Need,
    limits: ScalingLimits,
    unavailable: Collection[EngineGroup],
) -> EngineGroup | None:
    open_groups = [
        group
        for data_centre in limits.price_by_data_centre
        if total_in(wanted, data_centre) < limits.maximum
        for group in (
            EngineGroup(data_centre, True),
            EngineGroup(data_centre, False),
        )
        if group not in unavailable
    ]
    interruptible = [group for group in open_groups if group.interruptible]
    held = sum(n for group, n in wanted.items() if group.interruptible)
    half = math.ceil((held + 1) / 2)
    most = need.engines - need.surviving
    within_loss = [g for g in interruptible if wanted.get(g, 0) < most]
    spread = [g for g in within_loss if wanted.get(g, 0) < half]
    on_demand = [group for group in open_groups if not group.interruptible]
    for groups in (spread, within_loss, on_demand, interruptible):
        if groups:
            return min(
                groups,
                key=lambda group: (
                    limits.price_by_data_centre[group.data_centre],
                    wanted.get(group, 0),
                    group.data_centre,
                ),
            )
    return None


def group_to_reduce(
    wanted: EngineCounts,
    need: Need,
    limits: ScalingLimits,
    *,
    may_reduce_on_demand: bool,
) -> EngineGroup | None:
    """Returns the group that gives up an engine; None if none may.

    It is the most expensive one whose data centre keeps the minimum, and
    without whose engine the loss of one data centre's interruptible engines
    still leaves enough.

    Args:
        wanted: The engines that are wanted so far.
        need: The engines that are needed.
        limits: The limits and prices.
        may_reduce_on_demand: Whether on-demand engines may be given up.
    """
    candidates = [
        group
        for group, count in wanted.items()
        if count > 0
        and total_in(wanted, group.data_centre) > limits.minimum
        and (group.interruptible or may_reduce_on_demand)
        and _survives({**wanted, group: count - 1}, need)
    ]
    return max(
        candidates,
        key=lambda group: (_price(group, limits), group.data_centre),
        default=None,
    )


def _price(group: EngineGroup, limits: ScalingLimits) -> float:
    price = limits.price_by_data_centre[group.data_centre]
    return price * limits.interruptible_price if group.interruptible else price


def _survives(counts: EngineCounts, need: Need) -> bool:
    largest_loss = max(
        (count for group, count in counts.items() if group.interruptible),
        default=0,
    )
    return sum(counts.values()) - largest_loss >= need.surviving
