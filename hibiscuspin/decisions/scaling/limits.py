"""What operators allow for the number of a service's engines."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = ["ScalingLimits", "find_problem"]


class ScalingLimits(NamedTuple):
    """The limits and prices of a service whose engines can be ordered.

    Attributes:
        minimum: The fewest engines in a data centre.
        maximum: The most engines in a data centre, interruptible ones
            included.
        boot_s: The time from an order until a new engine serves.
        interruptible_price: The price of an interruptible engine as a part of
            that of another one.
        price_by_data_centre: The price of one engine second.
    """

    minimum: int
    maximum: int
    boot_s: float
    interruptible_price: float
    price_by_data_centre: Mapping[str, float]


def find_problem(
    limits: ScalingLimits, used: Collection[str], known: Collection[str]
) -> str:
    """Returns why a service can't be scaled; empty if it can.

    Args:
        limits: The limits of the service.
        used: The data centres of its engines.
        known: The data centres of the deployment.
    """
    if limits.minimum > limits.maximum:
        return f"minimum {limits.minimum} is above maximum {limits.maximum}"
    for data_centre in sorted(limits.price_by_data_centre):
        if data_centre not in known:
            return f"unknown data centre {data_centre!r}"
    for data_centre in sorted(used):
        if data_centre not in limits.price_by_data_centre:
            return f"no price for data centre {data_centre!r}"
    if not limits.price_by_data_centre:
        return "no data centre has a price"
    return ""
