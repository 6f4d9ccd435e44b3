"""Ejects failing targets temporarily, up to a share of all targets.

A target is ejected when a connection to it stays silent, or after
`FAILURES_TO_EJECT` consecutive failures. Each further ejection lasts twice as
long, up to a limit. When it ends, the target gets one request at a time until
one succeeds.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["Health", "after_failure", "after_success", "eligible_targets"]

FAILURES_TO_EJECT = 2
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5


class Health(NamedTuple):
    """The recent failures of one target.

    Attributes:
        failures: Number of consecutive failures.
        ejections: Number of ejections since the last success.
        ejected_until: Monotonic time until which it is ejected; 0 if it was
            not ejected since the last success.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


def after_success(health: Health) -> Health:
    """Returns a target's health after a complete response."""
    return Health()


def after_failure(health: Health, silent: bool, now: float) -> Health:
    """Returns a target's health after a failed attempt.

    Args:
        health: The health before.
        silent: Whether the target sent nothing in time.
        now: The monotonic time.
    """
    failures = health.failures + 1
    on_probation = health.ejections > 0
    if not silent and not on_probation and failures < FAILURES_TO_EJECT:
        return health._replace(failures=failures)
    if now < health.ejected_until:
        return health._replace(failures=failures)
    ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
    return Health(failures, health.ejections + 1, now + ejection_s)


def eligible_targets(
    names: Iterable[str],
    health_by_name: Mapping[str, Health],
    in_flight_by_name: Mapping[str, int],
    now: float,
) -> list[str]:
    """Returns the targets that may receive requests, in the given order.

    If more than `MAX_EJECTED_SHARE` of the targets are ejected, those whose
    ejection ends first are eligible nevertheless.
    """
    ordered = list(names)
    ejected = [
        name
        for name in ordered
        if _is_ejected(
            health_by_name.get(name), in_flight_by_name.get(name, 0), now
        )
    ]
    ejected.sort(key=lambda name: health_by_name[name].ejected_until)
    max_ejected = int(len(ordered) * MAX_EJECTED_SHARE)
    surplus = len(ejected) - max_ejected
    excluded = set(ejected[surplus:]) if surplus > 0 else set(ejected)
    return [name for name in ordered if name not in excluded]


def _is_ejected(health: Health | None, in_flight: int, now: float) -> bool:
    if health is None or not health.ejections:
        return False
    return now < health.ejected_until or in_flight > 0
