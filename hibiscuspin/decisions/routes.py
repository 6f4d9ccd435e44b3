"""Finds the route of a request and the service that serves it.

Routes are matched by host and by the longest prefix of the path. The table is
the operators' configuration in force and is never changed here.
"""

import enum
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hibiscuspin.decisions.organisations.keys import KeyTable
from hibiscuspin.decisions.scaling.limits import ScalingLimits

__all__ = [
    "CallKind",
    "ClientLimits",
    "ForwardRoute",
    "RouteTable",
    "find_route",
    "pick_service",
    "sorted_routes",
]


class CallKind(enum.Enum):
    """How the requests of a route may be handled."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    JOB = "job"


class ClientLimits(NamedTuple):
    """Limits on the size of a client's requests and on its idle time."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ForwardRoute(NamedTuple):
    """One route of the operators' configuration.

    Attributes:
        name: Its name in logs.
        host: The host in the requests of clients.
        prefix: The prefix of their paths.
        kind: How its requests may be handled.
        weight_by_service: The services that share its requests, with their
            weights.
        timeout_s: The maximum time that a request may wait for its response.
        objective_s: The time within which a response is on time.
        max_attempts: The maximum number of targets that one request may be
            sent to.
        priority: The priority of its requests; 0 is the highest.
        resumable: Whether its streams may be resumed at another target.
        single_version: Whether all events of a sample must come from one
            weight version.
        result_due_s: The time from the submission of a job until its results
            are due.
        keep_s: The time from the submission of a job until its unfinished
            items are given up.
        public: Whether its requests need no key.
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
    public: bool = False


class RouteTable(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Its version; increases with each configuration.
        routes_by_host: Routes by host, the longest prefix first.
        limits: Limits for clients.
        event_tokens_by_service: Tokens per stream event of each service.
        keys: The keys of organisations; None if requests need no key.
        scaling_by_service: Limits of the services whose engines are ordered.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[ForwardRoute]]
    limits: ClientLimits
    event_tokens_by_service: Mapping[str, float]
    keys: KeyTable | None = None
    scaling_by_service: Mapping[str, ScalingLimits] = {}


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


def find_route(table: RouteTable, host: str, path: str) -> ForwardRoute | None:
    """Returns the route with the longest matching prefix, or None."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: ForwardRoute, rng: random.Random) -> str:
    """Selects one of a route's services at random by their weights."""
    services = list(route.weight_by_service)
    if len(services) == 1:
        return services[0]
    weights = [route.weight_by_service[name] for name in services]
    return rng.choices(services, weights)[0]
