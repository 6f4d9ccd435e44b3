"""Which engines are ordered to load which weights, and when.

Load pattern: a trainer names a version every few seconds while its next step
already runs; some orders are lost, and some are carried out seconds late.
Orders are therefore level-triggered: an engine is asked for its state, and
gets the order again with the count of orders that it had, so that a late
copy of it fails.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = ["EngineView", "Ordered", "loads_at_once", "next_engines"]

# The sites load 2 of 5, 2 of 6 and 9 of 23 engines at full speed.
LOADING_SHARE = 0.39
LEAST_AT_ONCE = 2
# A load takes 0.9 s at full speed; after twice that its state is asked for.
RECHECK_S = 0.5


class EngineView(NamedTuple):
    """An engine that serves a model.

    Attributes:
        name: Its name and incarnation.
        version: The weights that it serves, as last heard.
        busy: Requests that run or wait there, as far as they are known.
    """

    name: str
    version: int
    busy: int


class Ordered(NamedTuple):
    """The last order to an engine.

    Attributes:
        version: The weights it was ordered to load.
        accepted: Whether it said that it loads them.
        recheck_at: When to ask for its state again.
    """

    version: int
    accepted: bool
    recheck_at: float


def loads_at_once(engines: int) -> int:
    """Returns how many engines load at once without slowing each other."""
    return max(LEAST_AT_ONCE, int(engines * LOADING_SHARE))


def next_engines(
    wanted: int,
    engines: Sequence[EngineView],
    ordered_by_name: Mapping[str, Ordered],
    now: float,
) -> list[str]:
    """Returns the engines to ask now and to order if they still lag.

    Idle engines go first, since an order interrupts those that work.
    """
    lagging = [e for e in engines if e.version < wanted]
    started = [
        e
        for e in lagging
        if e.name in ordered_by_name
        and ordered_by_name[e.name].version == wanted
    ]
    due = [e for e in started if ordered_by_name[e.name].recheck_at <= now]
    room = loads_at_once(len(engines)) - len(started)
    fresh = sorted(
        (e for e in lagging if e not in started),
        key=lambda e: (e.busy, e.version, e.name),
    )
    return [e.name for e in (*due, *fresh[: max(0, room)])]
