"""The adapter to scoring services, over HTTP."""

from collections.abc import Sequence
from typing import TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import ScoringError, TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import parse_address

__all__ = ["HttpScorer", "HttpScoringService", "startable_calls"]

SCORE_TIMEOUT_S = 5.0
MAX_CALLS_PER_SERVICE = 8


def startable_calls(service: str, in_flight: int, waiting: int) -> int:
    """Returns how many more calls may be sent to a scoring service."""
    return MAX_CALLS_PER_SERVICE - in_flight


class _Score(TypedDict):
    request_id: str
    reward: float


class HttpScoringService:
    """A client of one scoring service."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._client = HttpClient(parse_address(address))

    def scorer(self, request_id: str, prompt: str, text: str) -> "HttpScorer":
        """Returns the scorer of one sample."""
        return HttpScorer(self, request_id, prompt, text)

    def score(
        self, request_id: str, prompt: str, text: str, deadline: float
    ) -> float:
        """Returns the reward of one sample.

        Raises:
            TargetError: The service returned no valid reward for this request.
        """
        body = {"request_id": request_id, "prompt": prompt, "text": text}
        response = self._client.request(
            "POST",
            "/v1/scores",
            min(deadline, self._clock.monotonic() + SCORE_TIMEOUT_S),
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


class HttpScorer:
    """A `Scorer` that sends prompt and text to a scoring service."""

    def __init__(
        self,
        scoring_service: HttpScoringService,
        request_id: str,
        prompt: str,
        text: str,
    ) -> None:
        self.request_id = request_id
        self.service = scoring_service.address
        self.targets: Sequence[str] = (scoring_service.address,)
        self._scoring_service = scoring_service
        self._prompt = prompt
        self._text = text

    def score(self, deadline: float) -> float:
        """Returns the sample's reward."""
        try:
            return self._scoring_service.score(
                self.request_id, self._prompt, self._text, deadline
            )
        except TargetError as error:
            raise ScoringError(str(error)) from error
