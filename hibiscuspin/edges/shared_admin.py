"""Administration routes for peers and the configuration history."""

from typing import Any, TypedDict

from hibiscuspin.edges.auth import require_token
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.peers.hub import PeerHub
from hibiscuspin.tasks.configuration import Configuration
from hibiscuspin.tasks.store_client import StoreClient

__all__ = ["PeerInterface"]


class PeersAnswer(TypedDict):
    """The peers known to this instance, and its calls to the store."""

    instances: list[dict[str, Any]]
    neighbours: list[str]
    traffic: dict[str, int]
    store_calls: dict[str, int]


class HistoryAnswer(TypedDict):
    """The revisions to which the configuration can be rolled back."""

    history: list[dict[str, Any]]


class RollbackBody(TypedDict):
    """The earlier revision to apply again, and the author of the rollback."""

    revision: int
    author: str


class RollbackAnswer(TypedDict):
    """The new revision of the configuration."""

    revision: int


class PeerInterface:
    """Lets operators inspect peers and roll back the configuration."""

    def __init__(
        self,
        token: str,
        hub: PeerHub,
        stores: list[StoreClient],
        configuration: Configuration,
    ) -> None:
        self._configuration = configuration
        self._token = token
        self._hub = hub
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of this interface."""
        routes = (
            Route(
                "GET",
                "/admin/v1/peers",
                self._show_peers,
                summary="Shows peers, neighbours and calls to the store.",
                response_type=PeersAnswer,
            ),
            Route(
                "GET",
                "/admin/v1/config/history",
                self._show_history,
                summary="Shows earlier configurations, oldest first.",
                response_type=HistoryAnswer,
            ),
            Route(
                "POST",
                "/admin/v1/config/rollback",
                self._roll_back,
                summary="Applies an earlier configuration as a new revision.",
                body_type=RollbackBody,
                response_type=RollbackAnswer,
            ),
        )
        return tuple(
            route._replace(handler=require_token(self._token, route.handler))
            for route in routes
        )

    def _show_peers(self, request: Request) -> Response:
        calls: dict[str, int] = {}
        for store in self._stores:
            for kind, count in store.calls().items():
                calls[kind] = calls.get(kind, 0) + count
        return json_response(
            {
                "instances": [r._asdict() for r in self._hub.instances()],
                "neighbours": sorted(self._hub.neighbours()),
                "traffic": self._hub.traffic()._asdict(),
                "store_calls": calls,
            }
        )

    def _show_history(self, request: Request) -> Response:
        entries = [e._asdict() for e in self._configuration.history()]
        return json_response({"history": entries})

    def _roll_back(self, request: Request) -> Response:
        body = request.json(RollbackBody)
        document = self._configuration.roll_back(
            body["revision"], body["author"]
        )
        return json_response({"revision": document.revision.number})
