"""The operators' routes in force on this instance."""

import random
import threading
from collections.abc import Mapping

from hibiscuspin.decisions import routes
from hibiscuspin.decisions.routes import CallKind, ForwardRoute, RouteTable
from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.job_store import JobContents

__all__ = ["Routes", "find_in_table"]

_log = get_logger("config")


class Routes:
    """Holds the newest route table; never reverts to an older one."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._version_by_model: dict[str, int] = {}

    @property
    def table(self) -> RouteTable | None:
        """The route table in force, or None before the first one."""
        return self._table

    def activate(self, table: RouteTable) -> bool:
        """Puts a table in force; returns False if it is not newer."""
        with self._lock:
            known = self._table
            if known is not None and table.version <= known.version:
                return False
            self._table = table
        _log.info(
            "Route table in force.",
            extra={
                "version": table.version,
                "before": known.version if known else 0,
                "hosts": len(table.routes_by_host),
            },
        )
        return True

    def record_versions(self, version_by_model: Mapping[str, int]) -> None:
        """Records the model versions that trainers have named."""
        for model, version in version_by_model.items():
            known = self._version_by_model.get(model, 0)
            if version > known:
                self._version_by_model[model] = version
                _log.info(
                    "Trainer named a newer model version.",
                    extra={"model": model, "version": version},
                )

    def desired_by_model(self) -> dict[str, int]:
        """Returns the newest version that was named for each model."""
        return dict(self._version_by_model)

    def find(self, host: str, path: str, current: bool) -> ForwardRoute:
        """Returns the route of a request.

        Args:
            host: The host that the request names.
            path: Its path without the query.
            current: Whether the table is known to be the newest.

        Raises:
            HibiscusError: No route matches; the kind is `NOT_FOUND` only if the
                table is current.
        """
        return find_in_table(self._table, host, path, current)

    def pick_service(self, route: ForwardRoute) -> str:
        """Returns the service that serves a request of a route."""
        return routes.pick_service(route, self._draw)

    def for_job(self, contents: JobContents) -> tuple[ForwardRoute, str] | None:
        """Returns a job's route and service; None if the route is gone."""
        table = self._table
        if table is None:
            return None
        route = routes.find_route(table, contents.host, contents.path)
        if route is None:
            return None
        return route, routes.pick_service(route, self._draw)

    def tokens_per_event(self, service: str) -> float:
        """Returns the number of tokens per event in a service's streams."""
        table = self._table
        if table is None:
            return 1.0
        return table.event_tokens_by_service.get(service, 1.0)

    def requires_single_version(self, service: str) -> bool:
        """Returns whether samples of a service must have a single version."""
        table = self._table
        if table is None:
            return False
        return any(
            route.single_version and service in route.weight_by_service
            for host_routes in table.routes_by_host.values()
            for route in host_routes
            if route.kind is CallKind.JOB
        )

    def scaling_by_service(self) -> Mapping[str, ScalingLimits]:
        """Returns the limits of the services whose engines are ordered."""
        table = self._table
        return table.scaling_by_service if table is not None else {}

    def serves_only_jobs(self, service: str) -> bool:
        """Returns whether a service gets requests from job routes alone."""
        table = self._table
        if table is None:
            return False
        kinds = {
            route.kind
            for host_routes in table.routes_by_host.values()
            for route in host_routes
            if service in route.weight_by_service
        }
        return kinds == {CallKind.JOB}


def find_in_table(
    table: RouteTable | None, host: str, path: str, current: bool
) -> ForwardRoute:
    """Returns the route of a request in a table; see `Routes.find`."""
    if table is None:
        raise HibiscusError(
            ErrorKind.NOT_CONFIGURED,
            "No configuration has been received yet.",
        )
    route = routes.find_route(table, host, path)
    if route is not None:
        return route
    if not current:
        raise HibiscusError(
            ErrorKind.NOT_CONFIGURED,
            "No route matches, but the configuration may be out of date.",
        )
    raise HibiscusError(
        ErrorKind.NOT_FOUND, "No route matches the host and path."
    )
