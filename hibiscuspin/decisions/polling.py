"""Which instance polls the load of which engine, and how often.

Each engine is polled by one live instance of its data centre, which publishes
the load. An instance also polls the engines that it uses in other data
centres, but less often. The polling period grows with the number of engines,
which bounds the calls per second of an instance.
"""

from collections.abc import Collection, Iterable, Mapping

from hibiscuspin.rendezvous import owner, rank

__all__ = ["loads_changed", "list_readers", "poll_period_s", "owned_engines"]

MIN_PERIOD_S = 0.5
CALLS_PER_S = 8.0
LIST_READER_COUNT = 2
LIST_KEY = "instance-list"


def owned_engines(
    instance: str, engines: Iterable[str], instances: Collection[str]
) -> list[str]:
    """Returns the engines of its data centre that an instance polls.

    Args:
        instance: The instance.
        engines: The engines of its data centre.
        instances: The live instances of its data centre.
    """
    names = {*instances, instance}
    return [name for name in engines if owner(name, names) == instance]


def poll_period_s(engines: int) -> float:
    """Returns the seconds between two polls of each of `engines` engines."""
    return max(MIN_PERIOD_S, engines / CALLS_PER_S)


def list_readers(instances: Collection[str]) -> list[str]:
    """Returns which instances of a data centre read the platform's list."""
    return rank(LIST_KEY, instances)[:LIST_READER_COUNT]


def loads_changed(
    loads: Mapping[str, tuple[int, int, int]],
    published: Mapping[str, tuple[int, int, int]],
) -> bool:
    """Tells whether any engine's load differs from the published loads."""
    return dict(loads) != dict(published)
