"""A scoring service whose reward is a hash of prompt and text."""

import hashlib
from typing import TypedDict

from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve


class ScoreBody(TypedDict):
    """The body of `POST /v1/scores`."""

    request_id: str
    prompt: str
    text: str


def expected_reward(prompt: str, text: str) -> float:
    """Returns the reward of one sample, between 0 and 1."""
    digest = hashlib.blake2b(f"{prompt}\0{text}".encode()).digest()
    return int.from_bytes(digest[:2]) / 65535


def _score(request: Request) -> Response:
    body = request.json(ScoreBody)
    reward = expected_reward(body["prompt"], body["text"])
    return json_response({"request_id": body["request_id"], "reward": reward})


def main() -> None:
    """Runs the scorer."""
    args = argument_parser("Stand-in for a scoring service.").parse_args()
    serve(args, [Route("POST", "/v1/scores", _score)], Faults())


if __name__ == "__main__":
    main()
