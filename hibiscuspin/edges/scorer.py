"""The adapter to scoring services, over HTTP."""

from typing import TypedDict

import msgspec

from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import parse_address

__all__ = ["HttpScorer"]


class _Score(TypedDict):
    request_id: str
    reward: float


class HttpScorer:
    """A `Scorer` over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @classmethod
    def from_address(cls, address: str) -> "HttpScorer":
        """Returns a client for the scorer at `HOST:PORT`."""
        return cls(HttpClient(parse_address(address)))

    def score(
        self, request_id: str, prompt: str, text: str, deadline: float
    ) -> float:
        """Returns the reward of one sample.

        Raises:
            TargetError: The scorer returned no valid reward for this request.
        """
        body = {"request_id": request_id, "prompt": prompt, "text": text}
        response = self._client.request(
            "POST",
            "/v1/scores",
            deadline,
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )
        if response.status != 200:
            raise TargetError(
                f"scorer responded with status {response.status}", sent=True
            )
        try:
            score = msgspec.json.decode(response.body, type=_Score)
        except msgspec.MsgspecError as error:
            raise TargetError("malformed score", sent=True) from error
        if score["request_id"] != request_id:
            raise TargetError("response to another request", sent=True)
        return score["reward"]
