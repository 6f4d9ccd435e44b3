"""Two-phase roll-out of weights with level-triggered orders.

A `DesiredWeights` record contains the version that a model's engines should
serve, and the phase of the roll-out. Each instance compares the state of the
engines that it owns with the record and sends the missing orders, so a lost
order is simply sent again. In the first phase, one engine in each region
fetches the version from the weight store, and the others fetch it from
engines in their region. The second phase begins once every reachable engine
has fetched the version, or at a deadline.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "EngineStatus",
    "Phase",
    "EngineLocation",
    "StageOrder",
    "SwitchOrder",
    "DesiredWeights",
    "is_newer",
    "missing_orders",
    "ready_to_switch",
]

MAX_READERS_PER_SOURCE = 4


class Phase(enum.StrEnum):
    """The phase of a roll-out."""

    STAGE = "stage"
    SWITCH = "switch"


class DesiredWeights(NamedTuple):
    """The desired weights of one model.

    Attributes:
        model: The model's name.
        version: The desired version.
        source: The address of the weight store that has this version.
        phase: Whether engines should fetch the version or serve it.
        fencing: The revision of this record in the store.
        switch_at_s: Wall-clock time at which the second phase begins even if
            some engines have not fetched the version.
    """

    model: str
    version: int
    source: str
    phase: Phase
    fencing: int
    switch_at_s: float


class EngineLocation(NamedTuple):
    """The region and the address of an engine."""

    region: str
    address: str


class EngineStatus(NamedTuple):
    """The last observed status of an engine.

    Attributes:
        current: The version that it serves; 0 if unknown.
        staged: The versions that it has fetched.
        fetching: The address that it is fetching from, or an empty string.
        reachable: Whether the last status query succeeded.
    """

    current: int
    staged: tuple[int, ...] = ()
    fetching: str = ""
    reachable: bool = True


class StageOrder(NamedTuple):
    """Orders an engine to fetch a version."""

    engine: str
    version: int
    source: str
    fencing: int


class SwitchOrder(NamedTuple):
    """Orders an engine to serve a version that it has fetched."""

    engine: str
    version: int
    fencing: int


EngineOrder = StageOrder | SwitchOrder


def is_newer(known: DesiredWeights | None, offered: DesiredWeights) -> bool:
    """Tells whether an offered record replaces the known one."""
    return known is None or offered.fencing > known.fencing


def missing_orders(
    desired: DesiredWeights,
    owned: Collection[str],
    locations_by_engine: Mapping[str, EngineLocation],
    statuses_by_engine: Mapping[str, EngineStatus],
) -> list[EngineOrder]:
    """Returns the orders that the owned engines still need.

    Args:
        desired: The record in force.
        owned: The engines to which this instance sends orders.
        locations_by_engine: The locations of all engines of the model.
        statuses_by_engine: The status of each engine, if known here.
    """
    missing: list[EngineOrder] = []
    readers_by_source = _readers_by_source(statuses_by_engine.values())
    for engine in sorted(owned):
        status = statuses_by_engine.get(engine)
        if status is None or not status.reachable:
            continue
        if desired.version not in status.staged:
            source = _choose_source(
                desired,
                engine,
                locations_by_engine,
                statuses_by_engine,
                readers_by_source,
            )
            if source and not status.fetching:
                readers_by_source[source] += 1
                missing.append(
                    StageOrder(engine, desired.version, source, desired.fencing)
                )
        elif (
            desired.phase is Phase.SWITCH and status.current != desired.version
        ):
            missing.append(
                SwitchOrder(engine, desired.version, desired.fencing)
            )
    return missing


def ready_to_switch(
    desired: DesiredWeights,
    locations_by_engine: Mapping[str, EngineLocation],
    statuses_by_engine: Mapping[str, EngineStatus],
    now_s: float,
) -> bool:
    """Tells whether the second phase may begin.

    An unreachable engine does not delay the others; it fetches the version
    and switches once it is reachable again. An engine of unknown status
    delays the second phase until `switch_at_s`.
    """
    if desired.phase is Phase.SWITCH:
        return False
    if now_s >= desired.switch_at_s:
        return True
    for engine in locations_by_engine:
        status = statuses_by_engine.get(engine)
        if status is None:
            return False
        if status.reachable and desired.version not in status.staged:
            return False
    return True


def _readers_by_source(statuses: Iterable[EngineStatus]) -> Counter[str]:
    return Counter(status.fetching for status in statuses if status.fetching)


def _choose_source(
    desired: DesiredWeights,
    engine: str,
    locations_by_engine: Mapping[str, EngineLocation],
    statuses_by_engine: Mapping[str, EngineStatus],
    readers_by_source: Counter[str],
) -> str:
    """Returns the address to fetch from; empty if the engine must wait."""
    region = locations_by_engine[engine].region
    in_region = [
        name
        for name, location in locations_by_engine.items()
        if location.region == region
    ]
    sources = [
        locations_by_engine[name].address
        for name in in_region
        if desired.version in _staged_versions(statuses_by_engine, name)
    ]
    free = [a for a in sources if readers_by_source[a] < MAX_READERS_PER_SOURCE]
    if free:
        return min(
            free, key=lambda address: (readers_by_source[address], address)
        )
    if sources:
        return ""
    seed = _seed_engine(desired, in_region, statuses_by_engine)
    return desired.source if engine == seed else ""


def _seed_engine(
    desired: DesiredWeights,
    in_region: Sequence[str],
    statuses_by_engine: Mapping[str, EngineStatus],
) -> str:
    """Returns the engine that fetches from the weight store for its region.

    Returns an empty string if all engines of the region are unreachable.
    """
    for name in in_region:
        if _fetches_from(desired.source, name, statuses_by_engine):
            return name
    ranked = rendezvous.rank(f"{desired.model}/{desired.version}", in_region)
    for name in ranked:
        status = statuses_by_engine.get(name)
        if status is None or status.reachable:
            return name
    return ""


def _fetches_from(
    source: str, name: str, statuses_by_engine: Mapping[str, EngineStatus]
) -> bool:
    status = statuses_by_engine.get(name)
    return bool(status and status.reachable and status.fetching == source)


def _staged_versions(
    statuses_by_engine: Mapping[str, EngineStatus], name: str
) -> tuple[int, ...]:
    status = statuses_by_engine.get(name)
    return status.staged if status and status.reachable else ()
