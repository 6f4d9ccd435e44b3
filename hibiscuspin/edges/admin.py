"""The administration interface, protected by the operators' token."""

from typing import Any, TypedDict

from hibiscuspin.config import ConfigError, loader
from hibiscuspin.edges.auth import require_token
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.tasks.configuration import Configuration
from hibiscuspin.tasks.drains import Drains
from hibiscuspin.tasks.duties import Duties
from hibiscuspin.tasks.targets import Targets

__all__ = ["AdminInterface"]


class ApplyBody(TypedDict):
    """The body of `PUT /admin/v1/config`.

    The configuration is applied only if `seen` is still its latest revision.
    """

    config: dict[str, Any]
    seen: int
    author: str


class ConfigAnswer(TypedDict):
    """The configuration in force and its revision."""

    revision: int
    change_id: str
    config: dict[str, Any]


class ApplyAnswer(TypedDict):
    """The revision of an accepted configuration."""

    revision: int


class TargetsAnswer(TypedDict):
    """All targets of the configuration in force."""

    targets: list[dict[str, Any]]


class DrainAnswer(TypedDict):
    """Whether a target is ordered to drain."""

    target: str
    draining: bool


class DutiesAnswer(TypedDict):
    """The duties that one instance holds, with their fencing numbers."""

    duties: list[dict[str, Any]]


class AdminInterface:
    """Lets operators read and change the configuration and drain targets."""

    def __init__(
        self,
        token: str,
        configuration: Configuration,
        targets: Targets,
        drains: Drains,
        duties: Duties,
    ) -> None:
        self._token = token
        self._configuration = configuration
        self._targets = targets
        self._drains = drains
        self._duties = duties

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of this interface."""
        routes = (
            Route(
                "GET",
                "/admin/v1/config",
                self._show_config,
                summary="Shows the configuration in force.",
                response_type=ConfigAnswer,
            ),
            Route(
                "PUT",
                "/admin/v1/config",
                self._apply_config,
                summary="Applies a configuration over the revision `seen`.",
                body_type=ApplyBody,
                response_type=ApplyAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/targets",
                self._show_targets,
                summary="Shows the targets and their states.",
                response_type=TargetsAnswer,
            ),
            Route(
                "POST",
                "/admin/v1/targets/{target}/drain",
                self._drain,
                summary="Drains a target: it receives no new work.",
                response_type=DrainAnswer,
            ),
            Route(
                "POST",
                "/admin/v1/targets/{target}/undrain",
                self._undrain,
                summary="Cancels a drain: the target receives new work again.",
                response_type=DrainAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/duties",
                self._show_duties,
                summary="Shows the duties that this instance holds.",
                response_type=DutiesAnswer,
            ),
        )
        return tuple(
            route._replace(handler=require_token(self._token, route.handler))
            for route in routes
        )

    def _show_config(self, request: Request) -> Response:
        document = self._configuration.document()
        return json_response(
            {
                "revision": document.revision.number,
                "change_id": document.revision.change_id,
                "config": document.config,
            }
        )

    def _apply_config(self, request: Request) -> Response:
        body = request.json(ApplyBody)
        try:
            config = loader.check_config(body["config"])
        except ConfigError as error:
            raise HibiscusError(ErrorKind.CONFIG_INVALID, str(error)) from None
        document = self._configuration.apply(
            config, body["author"], body["seen"]
        )
        return json_response({"revision": document.revision.number})

    def _show_targets(self, request: Request) -> Response:
        statuses = [status._asdict() for status in self._targets.statuses()]
        return json_response({"targets": statuses})

    def _drain(self, request: Request, target: str) -> Response:
        return self._set_draining(target, True)

    def _undrain(self, request: Request, target: str) -> Response:
        return self._set_draining(target, False)

    def _set_draining(self, target: str, draining: bool) -> Response:
        names = self._configuration.config()["targets_by_name"]
        if target not in names:
            raise HibiscusError(
                ErrorKind.NOT_FOUND, f"Target {target!r} is unknown."
            )
        self._drains.order(target, draining)
        return json_response({"target": target, "draining": draining})

    def _show_duties(self, request: Request) -> Response:
        duties = [holding._asdict() for holding in self._duties.held_duties()]
        return json_response({"duties": duties})
