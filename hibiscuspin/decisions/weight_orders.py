"""Which engines load which weights next.

Load pattern: a trainer names a version and asks for its next step at the
same moment, so that engines have most work just when they are to load. A
step allows the version before: engines that have it stay in use, and load
when the step's many short samples are done and others have places for what
runs there. Engines that are two versions behind are of no use to the step
and load at once.

Load pattern: several trainers share the engines. If each engine loaded each
version of each model, loads would take longer than the steps between them.
A part of the engines is therefore assigned to each model and loads its
versions; the parts overlap, so that a burst of one model finds the places of
others.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "EngineView",
    "ModelNeed",
    "assign",
    "assigned_count",
    "loads_at_once",
    "next_engines",
    "turns",
]

# The sites load 2 of 5, 2 of 6 and 9 of 23 engines at full speed.
LOADING_SHARE = 0.4
LEAST_AT_ONCE = 2
# The samples of a step run a second after its version was named.
SETTLE_S = 1.0
# How many models an engine is assigned to, on average, where several share
# the engines.
OVERLAP = 1.5


class EngineView(NamedTuple):
    """An engine as one model sees it.

    Attributes:
        name: Its name.
        version: The weights that it serves, as last heard.
        busy: Requests that run or wait there, as far as they are known.
        slots: How many requests it runs at once.
    """

    name: str
    version: int
    busy: int
    slots: int


class ModelNeed(NamedTuple):
    """What the engines of a model are to load.

    Attributes:
        model: The model.
        wanted: The version that they are to serve.
        named_at: When this version was heard of.
    """

    model: str
    wanted: int
    named_at: float


def loads_at_once(engines: int) -> int:
    """Returns how many engines load at once without slowing each other."""
    return max(LEAST_AT_ONCE, int(engines * LOADING_SHARE))


def assigned_count(engines: int, models: int) -> int:
    """Returns how many engines each of some models gets."""
    if models <= 1:
        return engines
    return min(engines, math.ceil(engines * OVERLAP / models))


def assign(
    wanted_by_model: Mapping[str, int],
    versions_by_engine: Mapping[str, Mapping[str, int]],
) -> dict[str, list[str]]:
    """Returns the engines that load the versions of each model.

    Models choose in turn. An engine that has followed a model is chosen
    before others, so that little changes but when engines come and go; among
    equals, one that few models have chosen.

    Args:
        wanted_by_model: The version that each model is to be served in.
        versions_by_engine: The version of each model that an engine serves.
    """
    chosen: dict[str, list[str]] = {model: [] for model in wanted_by_model}
    taken: Counter[str] = Counter()
    # `min` keeps to the order of `rank` between equals.
    left_by_model = {
        model: rendezvous.rank(
            model,
            [name for name, row in versions_by_engine.items() if model in row],
        )
        for model in sorted(wanted_by_model)
    }
    count_by_model = {
        model: assigned_count(
            len(names),
            len(
                {other for name in names for other in versions_by_engine[name]}
            ),
        )
        for model, names in left_by_model.items()
    }
    for turn in range(max(count_by_model.values(), default=0)):
        for model, left in left_by_model.items():
            if turn >= count_by_model[model]:
                continue
            oldest = wanted_by_model[model] - 1
            costs = [
                (versions_by_engine[name][model] < oldest, taken[name])
                for name in left
            ]
            name = left.pop(costs.index(min(costs)))
            taken[name] += 1
            chosen[model].append(name)
    return {model: sorted(names) for model, names in chosen.items()}


def turns(
    wanted_by_model: Mapping[str, int],
    engines_by_model: Mapping[str, Sequence[EngineView]],
) -> list[str]:
    """Returns the models in the order in which they may load.

    The one with the smallest share of engines that serve its version goes
    first, so that no model waits until another has moved as a whole.
    """

    def share(model: str) -> float:
        engines = engines_by_model[model]
        wanted = wanted_by_model[model]
        fresh = sum(engine.version >= wanted for engine in engines)
        return fresh / max(1, len(engines))

    return sorted(wanted_by_model, key=lambda model: (share(model), model))


def next_engines(
    need: ModelNeed,
    engines: Sequence[EngineView],
    loading_by_engine: Mapping[str, str],
    room: int,
    now: float,
) -> list[str]:
    """Returns the engines that load a model now, the oldest weights first.

    Args:
        need: What the model needs.
        engines: Those that are assigned to it.
        loading_by_engine: What engines load already, whichever model.
        room: How many more may load at once, whichever model.
        now: The monotonic time.
    """
    wanted = need.wanted
    count = sum(
        loading_by_engine.get(engine.name) == need.model for engine in engines
    )
    room = min(room, loads_at_once(len(engines)) - count)
    free = sum(
        max(0, engine.slots - engine.busy)
        for engine in engines
        if engine.version >= wanted - 1 and engine.name not in loading_by_engine
    )
    lagging = [
        engine
        for engine in engines
        if engine.version < wanted and engine.name not in loading_by_engine
    ]
    lagging.sort(key=lambda engine: (engine.version, engine.busy, engine.name))
    chosen: list[str] = []
    for engine in lagging:
        if len(chosen) >= room:
            break
        if engine.version >= wanted - 1:
            others = free - max(0, engine.slots - engine.busy)
            if now < need.named_at + SETTLE_S or others < engine.busy:
                continue
            free = others - engine.busy
        chosen.append(engine.name)
    return chosen
