"""What operators allow for the number of a service's engines."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["ScalingLimits"]


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
