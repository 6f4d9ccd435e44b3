"""Which engines load which weights next.

Load pattern: a trainer names a version and asks for its next step at the
same moment, so that engines have work whenever they are to load. A few load
at a time while the others go on with all samples. Where the work would fill
the others, half of the engines load for each version: a step allows the
version before, so that each engine is then left out of every other one.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = ["EngineView", "is_pressed", "loads_at_once", "next_engines"]

# The sites load 2 of 5, 2 of 6 and 9 of 23 engines at full speed.
LOADING_SHARE = 0.39
LEAST_AT_ONCE = 2
# Above this share of the places, samples wait while engines load.
PRESSED_SHARE = 0.6
# Without a newer version for this long, the rest of the engines follow.
CATCH_UP_S = 6.0


class EngineView(NamedTuple):
    """An engine that serves a model.

    Attributes:
        name: Its name.
        version: The weights that it serves, as last heard.
        busy: Requests that run or wait there, as far as they are known.
    """

    name: str
    version: int
    busy: int


def loads_at_once(engines: int) -> int:
    """Returns how many engines load at once without slowing each other."""
    return max(LEAST_AT_ONCE, int(engines * LOADING_SHARE))


def is_pressed(samples: int, places: int) -> bool:
    """Tells whether so many open samples need most of the places."""
    return samples > PRESSED_SHARE * places


def next_engines(
    wanted: int,
    engines: Sequence[EngineView],
    loading: Collection[str],
    pressed: bool = False,
) -> list[str]:
    """Returns the engines that load now, the oldest weights first.

    Args:
        wanted: The version that all are to serve.
        engines: The engines of the model.
        loading: Those that load already.
        pressed: Whether to load no more than must: those that are two
            versions behind, and half in all.
    """
    count = sum(engine.name in loading for engine in engines)
    room = loads_at_once(len(engines)) - count
    lagging = [
        engine
        for engine in engines
        if engine.version < wanted and engine.name not in loading
    ]
    if pressed:
        fresh = sum(engine.version >= wanted for engine in engines) + count
        old = sum(engine.version < wanted - 1 for engine in lagging)
        room = min(room, max(old, (len(engines) + 1) // 2 - fresh))
    lagging.sort(key=lambda engine: (engine.version, engine.busy, engine.name))
    return [engine.name for engine in lagging[: max(0, room)]]
