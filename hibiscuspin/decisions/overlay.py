"""The overlay network: which instances have streams to one another.

Inside a data centre, instances form a ring in hash order, and each has a
chord whose length is about the square root of the ring's size. Data centres
are connected in the same shape, in the order of their names, with
`BRIDGES_PER_PAIR` streams for each connected pair. All instances that know
the same nodes compute the same edges.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hibiscuspin.rendezvous import rank

__all__ = ["Edge", "Node", "bridges", "edges", "edges_of"]

BRIDGES_PER_PAIR = 2
RING_KEY = "ring"


class Node(NamedTuple):
    """An instance and its data centre."""

    name: str
    data_centre: str


class Edge(NamedTuple):
    """A stream between two instances, which the opener establishes."""

    opener: str
    acceptor: str


def edges(nodes: Iterable[Node]) -> set[Edge]:
    """Returns all edges of the overlay."""
    names_by_centre = _names_by_centre(nodes)
    result = _all_bridges(names_by_centre)
    for names in names_by_centre.values():
        result |= _ring_edges(rank(RING_KEY, names))
    return result


def edges_of(own: Node, nodes: Iterable[Node]) -> set[Edge]:
    """Returns the edges of one node."""
    names_by_centre = _names_by_centre([*nodes, own])
    local = names_by_centre[own.data_centre]
    result = _ring_edges(rank(RING_KEY, local))
    result |= _bridges_of(own.data_centre, names_by_centre)
    return {edge for edge in result if own.name in edge}


def bridges(data_centre: str, nodes: Iterable[Node]) -> set[Edge]:
    """Returns the edges between a data centre and others."""
    return _bridges_of(data_centre, _names_by_centre(nodes))


def _names_by_centre(nodes: Iterable[Node]) -> dict[str, list[str]]:
    names_by_centre: dict[str, set[str]] = {}
    for node in nodes:
        names_by_centre.setdefault(node.data_centre, set()).add(node.name)
    return {c: sorted(names) for c, names in names_by_centre.items()}


def _ring_edges(order: Sequence[str]) -> set[Edge]:
    """Connects each name to the next and along its chord, each pair once."""
    size = len(order)
    chord = max(2, round(math.sqrt(size)))
    result: set[Edge] = set()
    for offset in {1, chord}:
        for index, name in enumerate(order):
            other = order[(index + offset) % size]
            if other != name and Edge(other, name) not in result:
                result.add(Edge(name, other))
    return result


def _all_bridges(names_by_centre: dict[str, list[str]]) -> set[Edge]:
    result: set[Edge] = set()
    for pair in _ring_edges(sorted(names_by_centre)):
        result |= _bridges_between(pair, names_by_centre)
    return result


def _bridges_of(
    data_centre: str, names_by_centre: dict[str, list[str]]
) -> set[Edge]:
    result: set[Edge] = set()
    for pair in _ring_edges(sorted(names_by_centre)):
        if data_centre in pair:
            result |= _bridges_between(pair, names_by_centre)
    return result


def _bridges_between(
    pair: Edge, names_by_centre: dict[str, list[str]]
) -> set[Edge]:
    """Returns the edges between a connected pair of data centres."""
    key = f"{pair.opener}|{pair.acceptor}"
    openers = rank(key, names_by_centre[pair.opener])
    acceptors = rank(key, names_by_centre[pair.acceptor])
    return {
        Edge(openers[nth % len(openers)], acceptors[nth % len(acceptors)])
        for nth in range(BRIDGES_PER_PAIR)
    }
