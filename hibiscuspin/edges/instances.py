"""The adapter to the platform's list of instances, over HTTP."""

from typing import TypedDict

import msgspec

from hibiscuspin.edges import InstanceRecord
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import Address

__all__ = ["HttpInstanceList"]


class _Record(TypedDict):
    name: str
    data_centre: str
    peer_address: str
    leaving: bool


class _InstanceListBody(TypedDict):
    instances: list[_Record]
    leaving_targets: list[str]


class HttpInstanceList:
    """An `InstanceList` over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @classmethod
    def from_address(cls, address: Address) -> "HttpInstanceList":
        """Returns a client for the list at an address."""
        return cls(HttpClient(address))

    def instances(self, deadline: float) -> list[InstanceRecord]:
        """Returns all instances of this service."""
        listing = self._fetch(deadline)
        return [InstanceRecord(**record) for record in listing["instances"]]

    def leaving_targets(self, deadline: float) -> list[str]:
        """Returns the names of targets that are leaving."""
        return self._fetch(deadline)["leaving_targets"]

    def _fetch(self, deadline: float) -> _InstanceListBody:
        response = self._client.request("GET", "/v1/instances", deadline)
        return msgspec.json.decode(response.body, type=_InstanceListBody)
