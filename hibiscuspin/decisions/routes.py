"""Finds the route of a request and the service that serves it.

Routes are matched by host and longest prefix. The table is the operators'
configuration in force; nothing here changes it.
"""

import enum
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "CallKind",
    "ClientLimits",
    "ForwardRoute",
    "RouteTable",
    "find",
    "pick_service",
    "sorted_routes",
]


class CallKind(enum.Enum):
    """What may be done with the requests of a route."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    JOB = "job"


class ClientLimits(NamedTuple):
    """Bounds on what a client may send, and on its silence."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ForwardRoute(NamedTuple):
    """One route of the operators.

    Attributes:
        name: Its name in logs.
        host: The host that clients name.
        prefix: The start of their paths.
        kind: What may be done with its requests.
        weight_by_service: The services that share its requests.
        timeout_s: The longest time that a request may wait for its answer.
        objective_s: The time within which an answer is on time.
        max_attempts: The most targets that one request may be sent to.
        priority: Its rank; 0 goes first.
        resumable: Whether its streams may go on at another target.
        single_version: Whether a sample must come from one version only.
        result_due_s: When the results of a job are due, from its submission.
        keep_s: How long an item of a job is tried, from its submission.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    weight_by_service: Mapping[str, float]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int = 5
    resumable: bool = False
    single_version: bool = False
    result_due_s: float = 0.0
    keep_s: float = 0.0


class RouteTable(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Its version; later ones are higher.
        routes_by_host: Routes by host, the longest prefix first.
        limits: Bounds for clients.
        event_tokens_by_service: How many tokens an event of a stream has.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[ForwardRoute]]
    limits: ClientLimits
    event_tokens_by_service: Mapping[str, float]


def sorted_routes(
    routes: Sequence[ForwardRoute],
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Returns the routes by host, the longest prefix first."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rows, key=lambda route: -len(route.prefix)))
        for host, rows in by_host.items()
    }


def find(table: RouteTable, host: str, path: str) -> ForwardRoute | None:
    """Returns the route with the longest prefix of a path, or None."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: ForwardRoute, draw: random.Random) -> str:
    """Draws one of a route's services by their weights."""
    services = list(route.weight_by_service)
    if len(services) == 1:
        return services[0]
    weights = [route.weight_by_service[name] for name in services]
    return draw.choices(services, weights)[0]
