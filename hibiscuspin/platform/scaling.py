"""Decodes how many engines of each service may be ordered."""

from collections.abc import Iterable, Mapping
from typing import Any

from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.logs import get_logger
from hibiscuspin.platform import words

__all__ = ["decode_limits"]

# Also keeps out infinity and numbers that no float can hold.
MAX_NUMBER = 1e9

_log = get_logger("config")


def decode_limits(
    services: Iterable[Mapping[str, Any]],
) -> dict[str, ScalingLimits]:
    """Decodes the limits of all services that have any.

    A service whose limits are invalid is not scaled; the log names the value.
    """
    limits_by_service: dict[str, ScalingLimits] = {}
    for row in services:
        raw = row.get("scaling")
        if raw is None:
            continue
        try:
            limits_by_service[row["name"]] = _parse_limits(raw)
        except words.DECODE_ERRORS as error:
            _log.error(
                "Service not scaled: its limits are invalid.",
                extra={"service": row.get("name"), "reason": str(error)},
            )
    return limits_by_service


def _parse_limits(raw: Any) -> ScalingLimits:
    if not isinstance(raw, dict):
        raise TypeError(f"scaling: expected a table, found {raw!r}")
    minimum, maximum = _count(raw, "min"), _count(raw, "max")
    if minimum > maximum:
        raise ValueError(
            f"scaling.min: {minimum} is above scaling.max, {maximum}"
        )
    prices = raw.get("zone_prices")
    if not isinstance(prices, dict) or not prices:
        raise ValueError(
            f"scaling.zone_prices: expected prices by zone, found {prices!r}"
        )
    return ScalingLimits(
        minimum,
        maximum,
        _number(raw, "boot_s", "scaling"),
        _number(raw, "spot_price", "scaling"),
        {zone: _number(prices, zone, "scaling.zone_prices") for zone in prices},
    )


def _count(raw: Mapping[str, Any], name: str) -> int:
    value = raw.get(name)
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise ValueError(
        f"scaling.{name}: expected a whole number, found {value!r}"
    )


def _number(raw: Mapping[str, Any], name: str, table: str) -> float:
    value = raw.get(name)
    if (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_NUMBER
    ):
        return float(value)
    raise ValueError(f"{table}.{name}: expected a number, found {value!r}")
