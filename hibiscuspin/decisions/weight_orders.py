"""Which engines load which weights next.

Load pattern: a trainer announces a version and requests its next step at the
same moment, so engines are busiest just when they should load. A step also
accepts the previous version. Engines that have it therefore stay in use, and
load once the step's many short samples are done and other engines have free
slots for their requests. Engines that are two versions behind can't serve the
step and load immediately.

Load pattern: several trainers share the engines. If each engine loaded each
version of each model, loads would take longer than the steps between them.
Each model is therefore assigned a subset of the engines, which load its
versions. The subsets overlap, so a burst of one model can use slots that
other models leave free.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "EngineView",
    "DesiredVersion",
    "assign_engines",
    "engines_per_model",
    "max_concurrent_loads",
    "engines_to_load",
    "loading_order",
]

# At the sites, 2 of 5, 2 of 6 and 9 of 23 engines can load concurrently at
# full speed.
MAX_LOADING_SHARE = 0.4
MIN_CONCURRENT_LOADS = 2
# The samples of a step are running one second after its version was announced.
STEP_START_DELAY_S = 1.0
# The mean number of models per engine if several models share the engines.
MODELS_PER_ENGINE = 1.5


class EngineView(NamedTuple):
    """The state of an engine with regard to one model.

    Attributes:
        name: Its name.
        version: The weight version that it serves, as last reported.
        busy: The known number of requests that run or queue there.
        slots: How many requests it can run concurrently.
    """

    name: str
    version: int
    busy: int
    slots: int


class DesiredVersion(NamedTuple):
    """The weight version that the engines of a model should serve.

    Attributes:
        model: The model.
        version: The desired version.
        announced_at: When this version was first known here.
    """

    model: str
    version: int
    announced_at: float


def max_concurrent_loads(engines: int) -> int:
    """Returns how many engines can load at once without a slowdown."""
    return max(MIN_CONCURRENT_LOADS, int(engines * MAX_LOADING_SHARE))


def engines_per_model(engines: int, models: int) -> int:
    """Returns how many engines each of `models` models is assigned."""
    if models <= 1:
        return engines
    return min(engines, math.ceil(engines * MODELS_PER_ENGINE / models))


def assign_engines(
    desired_by_model: Mapping[str, int],
    versions_by_engine: Mapping[str, Mapping[str, int]],
) -> dict[str, list[str]]:
    """Assigns engines to models.

    The models choose engines in turn. Engines that serve a recent version of
    the model are chosen first, so that assignments mostly change only when
    engines join or leave; among equals, those that the fewest models chose.

    Args:
        desired_by_model: The desired version of each model.
        versions_by_engine: The version of each model that an engine serves.

    Returns:
        The names of the engines that load the versions of each model.
    """
    chosen: dict[str, list[str]] = {model: [] for model in desired_by_model}
    assignments: Counter[str] = Counter()
    # Among engines with equal costs, `min` selects the first in this order.
    unchosen_by_model = {
        model: rendezvous.rank(
            model,
            [
                name
                for name, versions in versions_by_engine.items()
                if model in versions
            ],
        )
        for model in sorted(desired_by_model)
    }
    count_by_model = {
        model: engines_per_model(
            len(names),
            len(
                {other for name in names for other in versions_by_engine[name]}
            ),
        )
        for model, names in unchosen_by_model.items()
    }
    for turn in range(max(count_by_model.values(), default=0)):
        for model, unchosen in unchosen_by_model.items():
            if turn >= count_by_model[model]:
                continue
            previous_version = desired_by_model[model] - 1
            costs = [
                (
                    versions_by_engine[name][model] < previous_version,
                    assignments[name],
                )
                for name in unchosen
            ]
            name = unchosen.pop(costs.index(min(costs)))
            assignments[name] += 1
            chosen[model].append(name)
    return {model: sorted(names) for model, names in chosen.items()}


def loading_order(
    desired_by_model: Mapping[str, int],
    engines_by_model: Mapping[str, Sequence[EngineView]],
) -> list[str]:
    """Returns the models in the order in which they may load.

    The model with the smallest share of engines that serve its desired
    version is first, so that no model waits until all engines of another
    have loaded.
    """

    def share(model: str) -> float:
        engines = engines_by_model[model]
        desired_version = desired_by_model[model]
        up_to_date = sum(
            engine.version >= desired_version for engine in engines
        )
        return up_to_date / max(1, len(engines))

    return sorted(desired_by_model, key=lambda model: (share(model), model))


def engines_to_load(
    desired: DesiredVersion,
    engines: Sequence[EngineView],
    loading_by_engine: Mapping[str, str],
    max_loads: int,
    now: float,
) -> list[str]:
    """Returns the engines that should load now, the oldest weights first.

    Args:
        desired: The desired version of the model.
        engines: The engines assigned to the model.
        loading_by_engine: The model that each loading engine is loading.
        max_loads: How many more engines may load at once, over all models.
        now: The monotonic time.
    """
    desired_version = desired.version
    loading_count = sum(
        loading_by_engine.get(engine.name) == desired.model
        for engine in engines
    )
    max_loads = min(
        max_loads, max_concurrent_loads(len(engines)) - loading_count
    )
    free_slots = sum(
        max(0, engine.slots - engine.busy)
        for engine in engines
        if engine.version >= desired_version - 1
        and engine.name not in loading_by_engine
    )
    lagging = [
        engine
        for engine in engines
        if engine.version < desired_version
        and engine.name not in loading_by_engine
    ]
    lagging.sort(key=lambda engine: (engine.version, engine.busy, engine.name))
    chosen: list[str] = []
    for engine in lagging:
        if len(chosen) >= max_loads:
            break
        if engine.version >= desired_version - 1:
            free_elsewhere = free_slots - max(0, engine.slots - engine.busy)
            if (
                now < desired.announced_at + STEP_START_DELAY_S
                or free_elsewhere < engine.busy
            ):
                continue
            free_slots = free_elsewhere - engine.busy
        chosen.append(engine.name)
    return chosen
